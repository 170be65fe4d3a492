package io.coppershelf.bench.decisions;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Grants the right to eject servers. The number of grants never exceeds the servers above the floor, less those that
 * are out of service for another reason.
 */
final class FloorCounter {
    /** Duration of a grant. */
    static final long GRANT_NANOS = 5 * Units.SECONDS;

    private final int maxOutOfService;
    private final Map<String, Long> untilByServer = new HashMap<>();
    private final Set<String> outOfService = new HashSet<>();

    FloorCounter(int servers, int floor) {
        this.maxOutOfService = servers - floor;
    }

    /** Grants or renews the right to eject the server if the floor permits it; returns whether it is granted. */
    boolean request(String server, long nowNanos) {
        untilByServer.values().removeIf(until -> until <= nowNanos);
        Set<String> unavailable = new HashSet<>(untilByServer.keySet());
        unavailable.addAll(outOfService);
        unavailable.remove(server);
        if (unavailable.size() >= maxOutOfService) {
            return false;
        }
        untilByServer.put(server, nowNanos + GRANT_NANOS);
        return true;
    }

    /** Releases a grant. */
    void release(String server) {
        untilByServer.remove(server);
    }

    /** Records whether the server is draining or cold, which counts as out of service. */
    void reportOutOfService(String server, boolean isOutOfService) {
        if (isOutOfService) {
            outOfService.add(server);
        } else {
            outOfService.remove(server);
        }
    }
}
