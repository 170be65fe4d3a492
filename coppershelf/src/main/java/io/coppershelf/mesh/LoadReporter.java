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
 * Decides when this VM tells the fleet of its requests at servers: a new request soon, since other VMs may choose the
 * same slot; an ended one with the next message, or a little later. Pure; not safe for several threads.
 */
final class LoadReporter {
    /** Longest time for which a new request stays untold; two VMs rarely choose the same server within it. */
    private static final long BEGIN_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    /** Longest time for which an ended request stays untold, a fraction of a usual request. */
    private static final long END_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Every count is told again this often, as datagrams may be lost; a third of its expiry. */
    private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Map<Long, Integer> inFlight = new HashMap<>();
    private final Set<Long> untold = new HashSet<>();
    private long dueNanos = Long.MAX_VALUE;
    private long repeatedNanos;

    /** Notes the number of requests of this VM at a server. Returns the time at which the fleet is to hear of it. */
    long changed(long serverCode, int count, boolean isBegin, long nowNanos) {
        if (count > 0) {
            inFlight.put(serverCode, count);
        } else {
            inFlight.remove(serverCode);
        }
        untold.add(serverCode);
        dueNanos = Math.min(dueNanos, nowNanos + (isBegin ? BEGIN_DELAY_NANOS : END_DELAY_NANOS));
        return dueNanos;
    }

    /** Returns the message that is due, if any. */
    Optional<MeshMessage.Load> pollDue(long nowNanos) {
        if (nowNanos - repeatedNanos >= REPEAT_NANOS) {
            repeatedNanos = nowNanos;
            untold.addAll(inFlight.keySet());
            dueNanos = untold.isEmpty() ? Long.MAX_VALUE : nowNanos;
        }
        if (nowNanos < dueNanos) {
            return Optional.empty();
        }
        dueNanos = Long.MAX_VALUE;
        List<Long> codes = new ArrayList<>(untold);
        List<Integer> counts =
                codes.stream().map(code -> inFlight.getOrDefault(code, 0)).toList();
        untold.clear();
        return codes.isEmpty() ? Optional.empty() : Optional.of(new MeshMessage.Load(codes, counts));
    }
}
