package io.coppershelf.bench.decisions.baseline;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Ejections whose duration grows with their number per server; at most half of the servers are ejected at once. */
final class TimedEjections {
    private static final long BASE_NANOS = Duration.ofSeconds(30).toNanos();

    private final Map<String, Long> untilNanos = new HashMap<>();
    private final Map<String, Integer> ejectionCounts = new HashMap<>();

    void eject(String server, int servers, long nowNanos) {
        if (ejected(nowNanos).size() < Math.max(1, servers / 2)) {
            int ejections = ejectionCounts.merge(server, 1, Integer::sum);
            untilNanos.put(server, nowNanos + ejections * BASE_NANOS);
        }
    }

    Set<String> ejected(long nowNanos) {
        untilNanos.values().removeIf(until -> until <= nowNanos);
        return new TreeSet<>(untilNanos.keySet());
    }
}
