package io.coppershelf.bench.decisions.baseline;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Ejections for a time that grows with their number; at most half of the servers at once. */
final class TimedEjections {
    private static final long BASE_NANOS = Duration.ofSeconds(30).toNanos();

    private final Map<String, Long> untilNanos = new HashMap<>();
    private final Map<String, Integer> count = new HashMap<>();

    void eject(String server, int servers, long nowNanos) {
        if (current(nowNanos).size() < Math.max(1, servers / 2)) {
            int times = count.merge(server, 1, Integer::sum);
            untilNanos.put(server, nowNanos + times * BASE_NANOS);
        }
    }

    Set<String> current(long nowNanos) {
        untilNanos.values().removeIf(until -> until <= nowNanos);
        return new TreeSet<>(untilNanos.keySet());
    }
}
