package io.coppershelf.operator.internal;

import io.coppershelf.operator.HybridClock;
import io.coppershelf.operator.StampedEvent;
import io.coppershelf.operator.Timeline;
import java.util.ArrayList;
import java.util.List;

/** The latest events of this process, in a ring buffer of fixed size. Thread-safe. */
public final class TimelineBuffer implements Timeline {
    private static final int MAX_TEXT_LENGTH = 300;

    private final HybridClock clock;
    private final String vm;
    private final StampedEvent[] ring;
    private long recorded;
    private long overwritten;

    /**
     * Creates an empty buffer.
     *
     * @param clock stamps the events
     * @param vm the id of this VM
     * @param capacity the number of events that are kept
     */
    public TimelineBuffer(HybridClock clock, String vm, int capacity) {
        this.clock = clock;
        this.vm = vm;
        this.ring = new StampedEvent[capacity];
    }

    @Override
    public synchronized void record(Event event) {
        int position = position(recorded);
        if (ring[position] != null) {
            overwritten = ring[position].stamp();
        }
        ring[position] = new StampedEvent(clock.stamp(), vm, shortened(event));
        recorded++;
    }

    /** Returns the events after the given stamp, the oldest first, at most {@code limit} of them. */
    public synchronized List<StampedEvent> after(long stamp, int limit) {
        List<StampedEvent> events = new ArrayList<>();
        long oldest = Math.max(0, recorded - ring.length);
        for (long i = oldest; i < recorded && events.size() < limit; i++) {
            StampedEvent event = ring[position(i)];
            if (event.stamp() > stamp) {
                events.add(event);
            }
        }
        return events;
    }

    /** Returns the stamp of the latest event that was overwritten, 0 if none was. */
    public synchronized long overwritten() {
        return overwritten;
    }

    private int position(long index) {
        return (int) (index % ring.length);
    }

    private static Event shortened(Event event) {
        if (event.text().length() <= MAX_TEXT_LENGTH) {
            return event;
        }
        String text = event.text().substring(0, MAX_TEXT_LENGTH);
        return new Event(event.component(), text, event.service(), event.server(), event.request(), event.ticket());
    }
}
