package io.coppershelf.operator;

import java.util.Comparator;

/**
 * An event of the timeline with its time and VM.
 *
 * @param stamp the stamp of the {@link HybridClock}
 * @param vm the VM on which it happened
 * @param event the event
 */
public record StampedEvent(long stamp, String vm, Timeline.Event event) implements Comparable<StampedEvent> {
    private static final Comparator<StampedEvent> ORDER =
            Comparator.comparingLong(StampedEvent::stamp).thenComparing(StampedEvent::vm);

    @Override
    public int compareTo(StampedEvent other) {
        return ORDER.compare(this, other);
    }
}
