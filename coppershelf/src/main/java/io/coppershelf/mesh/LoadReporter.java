package io.coppershelf.mesh;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides when this VM reports its requests in flight to the fleet: a new request soon, since other VMs may choose the
 * same slot; an ended one with the next message or after a short delay. Free of I/O and clocks; not thread-safe.
 */
final class LoadReporter {
    /** Longest delay of the report of a new request; two VMs rarely choose the same server within it. */
    private static final long START_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    /** Longest delay of the report of an ended request, a fraction of a typical request's duration. */
    private static final long END_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Interval at which all counts are reported again, as datagrams may be lost; a third of the expiry of a count. */
    private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Map<Long, Integer> inFlight = new HashMap<>();
    private final Set<Long> unreported = new HashSet<>();
    private long dueNanos = Long.MAX_VALUE;
    private long lastRepeatNanos;

    /**
     * Records the number of requests that this VM has in flight at a server. Returns the time at which the report is
     * due.
     */
    long changed(long serverCode, int count, boolean isStart, long nowNanos) {
        if (count > 0) {
            inFlight.put(serverCode, count);
        } else {
            inFlight.remove(serverCode);
        }
        unreported.add(serverCode);
        dueNanos = Math.min(dueNanos, nowNanos + (isStart ? START_DELAY_NANOS : END_DELAY_NANOS));
        return dueNanos;
    }

    /** Returns the report that is due, if any, and clears the recorded changes. */
    Optional<MeshMessage.Load> pollDue(long nowNanos) {
        if (nowNanos - lastRepeatNanos >= REPEAT_NANOS) {
            lastRepeatNanos = nowNanos;
            unreported.addAll(inFlight.keySet());
            dueNanos = unreported.isEmpty() ? Long.MAX_VALUE : nowNanos;
        }
        if (nowNanos < dueNanos) {
            return Optional.empty();
        }
        dueNanos = Long.MAX_VALUE;
        List<Long> codes = new ArrayList<>(unreported);
        List<Integer> counts =
                codes.stream().map(code -> inFlight.getOrDefault(code, 0)).toList();
        unreported.clear();
        return codes.isEmpty() ? Optional.empty() : Optional.of(new MeshMessage.Load(codes, counts));
    }
}
