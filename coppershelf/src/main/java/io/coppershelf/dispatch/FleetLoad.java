package io.coppershelf.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * The requests that other VMs have at each server, as they tell it. Where many VMs send few requests each to servers
 * with few slots, neither own requests nor the load in the last answer tell how full a server is now. One thread
 * changes it; any thread reads.
 */
public final class FleetLoad {
    /** Time after which a count that was not repeated is forgotten; its VM repeats it more often. */
    static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final Map<Long, Map<Object, Count>> countsByServer = new HashMap<>();
    private final Map<Long, Integer> totals = new ConcurrentHashMap<>();

    /** Returns the number that stands for a server in messages. */
    public static long codeOf(String serverKey) {
        long code = 1125899906842597L;
        for (int i = 0; i < serverKey.length(); i++) {
            code = 31 * code + serverKey.charAt(i);
        }
        return code;
    }

    /**
     * Takes the number of requests that a VM has at a server.
     *
     * @param vm anything that stands for the VM
     * @return whether it has more than before, so that it has sent one
     */
    public boolean recordInFlight(Object vm, long serverCode, int inFlight, long nowNanos) {
        Map<Object, Count> counts = countsByServer.computeIfAbsent(serverCode, code -> new HashMap<>());
        Count before = counts.get(vm);
        boolean hasMore = inFlight > (before == null ? 0 : before.inFlight);
        if (inFlight > 0) {
            counts.put(vm, new Count(inFlight, nowNanos));
        } else {
            counts.remove(vm);
        }
        update(serverCode, counts);
        return hasMore;
    }

    /** Forgets counts that were not repeated in time. */
    public void expire(long nowNanos) {
        countsByServer.forEach((code, counts) -> {
            if (counts.values().removeIf(count -> nowNanos - count.atNanos > EXPIRY_NANOS)) {
                update(code, counts);
            }
        });
        countsByServer.values().removeIf(Map::isEmpty);
    }

    /** Returns the requests that other VMs have at a server. */
    public int inFlightOfOthers(long serverCode) {
        return totals.getOrDefault(serverCode, 0);
    }

    private void update(long serverCode, Map<Object, Count> counts) {
        int total = 0;
        for (Count count : counts.values()) {
            total += count.inFlight;
        }
        if (total == 0) {
            totals.remove(serverCode);
        } else {
            totals.put(serverCode, total);
        }
    }

    private record Count(int inFlight, long atNanos) {}
}
