package io.coppershelf.bench.decisions;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** An exact count of the rights to eject: at most servers less floor less those that are out for another reason. */
final class FloorCounter {
    /** How long a right holds. */
    static final long RIGHT = 5 * Units.SECONDS;

    private final int spare;
    private final Map<String, Long> untilByServer = new HashMap<>();
    private final Set<String> out = new HashSet<>();

    FloorCounter(int servers, int floor) {
        this.spare = servers - floor;
    }

    /** Grants or renews a right if there is one left. */
    boolean request(String server, long nowNanos) {
        untilByServer.values().removeIf(until -> until <= nowNanos);
        Set<String> taken = new HashSet<>(untilByServer.keySet());
        taken.addAll(out);
        taken.remove(server);
        if (taken.size() >= spare) {
            return false;
        }
        untilByServer.put(server, nowNanos + RIGHT);
        return true;
    }

    /** Takes a right back. */
    void release(String server) {
        untilByServer.remove(server);
    }

    /** Takes in whether the server is draining or cold. */
    void reportOut(String server, boolean isOut) {
        if (isOut) {
            out.add(server);
        } else {
            out.remove(server);
        }
    }
}
