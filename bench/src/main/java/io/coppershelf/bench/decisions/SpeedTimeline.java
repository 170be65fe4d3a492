package io.coppershelf.bench.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** The speed of a server over time: 1 is normal, 0 a stall; constant between changes. */
final class SpeedTimeline {
    private final List<Change> changes = new ArrayList<>(List.of(new Change(0, 1.0)));

    /** Sets the speed from the given time on; calls must be in ascending order of time. */
    SpeedTimeline from(long nanos, double speed) {
        changes.add(new Change(nanos, speed));
        return this;
    }

    /** Returns the speed at the given time. */
    double speedAt(long nanos) {
        return changes.get(indexAt(nanos)).speed();
    }

    /** Returns the time at which work that begins at the given time ends, empty if it never ends. */
    OptionalLong finish(long startNanos, long workNanos) {
        double remaining = (double) workNanos;
        long at = startNanos;
        for (int index = indexAt(startNanos); index < changes.size(); index++) {
            double speed = changes.get(index).speed();
            long end = index + 1 < changes.size() ? changes.get(index + 1).atNanos() : Long.MAX_VALUE;
            double possible = speed * (double) (end - at);
            if (possible >= remaining) {
                return OptionalLong.of(at + (long) (remaining / speed));
            }
            remaining -= possible;
            at = end;
        }
        return OptionalLong.empty();
    }

    private int indexAt(long nanos) {
        int index = changes.size() - 1;
        while (index > 0 && changes.get(index).atNanos() > nanos) {
            index--;
        }
        return index;
    }

    private record Change(long atNanos, double speed) {}
}
