package io.coppershelf.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * The numbers of requests that other VMs have in flight at each server, as the VMs report them. Where many VMs send few
 * requests each to servers with few slots, neither the requests of this VM nor the load in the last answer show how
 * full a server is now. One thread writes; any thread reads.
 */
public final class FleetLoad {
    /** Time after which a count that was not repeated is discarded; its VM repeats it more often. */
    static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final Map<Long, Map<Object, Count>> countsByServer = new HashMap<>();
    private final Map<Long, Count> summaries = new ConcurrentHashMap<>();
    private final Map<Long, Integer> totals = new ConcurrentHashMap<>();
    private volatile Optional<Long> countedNanos = Optional.empty();

    /** Returns the 64-bit hash that identifies a server in messages. */
    public static long codeOf(String serverKey) {
        long code = 1125899906842597L;
        for (int i = 0; i < serverKey.length(); i++) {
            code = 31 * code + serverKey.charAt(i);
        }
        return code;
    }

    /**
     * Records the number of requests that a VM has in flight at a server.
     *
     * @param vm any key that identifies the VM
     * @return whether the number has grown, so that the VM has sent a request
     */
    public boolean recordInFlight(Object vm, long serverCode, int inFlight, long nowNanos) {
        countedNanos = Optional.of(nowNanos);
        Map<Object, Count> counts = countsByServer.computeIfAbsent(serverCode, code -> new HashMap<>());
        Count before = counts.get(vm);
        boolean hasGrown = inFlight > (before == null ? 0 : before.inFlight);
        if (inFlight > 0) {
            counts.put(vm, new Count(inFlight, nowNanos));
        } else {
            counts.remove(vm);
        }
        update(serverCode, counts);
        return hasGrown;
    }

    /** Records the number of requests that all VMs have in flight at a server, as counted in its data centre. */
    public void recordSummary(long serverCode, int inFlight, long nowNanos) {
        summaries.put(serverCode, new Count(inFlight, nowNanos));
    }

    /** Discards counts that were not repeated in time. */
    public void expire(long nowNanos) {
        countsByServer.forEach((code, counts) -> {
            if (counts.values().removeIf(count -> nowNanos - count.atNanos > EXPIRY_NANOS)) {
                update(code, counts);
            }
        });
        countsByServer.values().removeIf(Map::isEmpty);
        summaries.values().removeIf(count -> nowNanos - count.atNanos > EXPIRY_NANOS);
    }

    /** Returns the number of requests that other VMs have in flight at a server. */
    public int inFlightOfOthers(long serverCode) {
        Count summary = summaries.get(serverCode);
        return Math.max(totals.getOrDefault(serverCode, 0), summary == null ? 0 : summary.inFlight);
    }

    /** Returns the time of the last count of another VM, empty if there was none. */
    Optional<Long> countedNanos() {
        return countedNanos;
    }

    /** Returns the time of the last summary on a server, empty if there is none. */
    Optional<Long> summaryNanos(long serverCode) {
        return Optional.ofNullable(summaries.get(serverCode)).map(Count::atNanos);
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
