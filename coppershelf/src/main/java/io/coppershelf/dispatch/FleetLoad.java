package io.coppershelf.dispatch;

import java.util.HashMap;
import java.util.Iterator;
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
    private final Map<Long, SummaryCount> summaries = new ConcurrentHashMap<>();
    private final Map<Long, Integer> totals = new ConcurrentHashMap<>();
    private volatile boolean isCounted;
    private volatile long countedNanos;

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
     * @return whether the VM has sent a request: the number has grown, or is zero again although no request was
     *     reported, as a request that fails at once ends before its start is reported
     */
    public boolean recordInFlight(Object vm, long serverCode, int inFlight, long nowNanos) {
        countedNanos = nowNanos;
        isCounted = true;
        Map<Object, Count> counts = countsByServer.get(serverCode);
        Count known = counts == null ? null : counts.get(vm);
        int before = known == null ? 0 : known.inFlight;
        if (inFlight <= 0) {
            if (known != null) {
                counts.remove(vm);
            }
        } else if (known == null) {
            countsByServer.computeIfAbsent(serverCode, code -> new HashMap<>()).put(vm, new Count(inFlight, nowNanos));
        } else {
            known.inFlight = inFlight;
            known.atNanos = nowNanos;
        }
        add(serverCode, Math.max(0, inFlight) - before);
        return inFlight > before || (inFlight <= 0 && known == null);
    }

    /** Records the number of requests that all VMs have in flight at a server, as counted in its data centre. */
    public void recordSummary(long serverCode, int inFlight, long nowNanos) {
        SummaryCount known = summaries.get(serverCode);
        if (known == null) {
            summaries.put(serverCode, new SummaryCount(inFlight, nowNanos));
        } else {
            known.inFlight = inFlight;
            known.atNanos = nowNanos;
        }
    }

    /** Discards counts that were not repeated in time. */
    public void expire(long nowNanos) {
        countsByServer.forEach((code, counts) -> expire(code, counts, nowNanos));
        countsByServer.values().removeIf(Map::isEmpty);
        summaries.values().removeIf(count -> nowNanos - count.atNanos > EXPIRY_NANOS);
    }

    /** Returns the number of requests that other VMs have in flight at a server. */
    public int inFlightOfOthers(long serverCode) {
        SummaryCount summary = summaries.get(serverCode);
        return Math.max(totals.getOrDefault(serverCode, 0), summary == null ? 0 : summary.inFlight);
    }

    /** Returns the time of the last count of another VM, empty if there was none. */
    Optional<Long> countedNanos() {
        return isCounted ? Optional.of(countedNanos) : Optional.empty();
    }

    /** Returns the time of the last summary on a server, empty if there is none. */
    Optional<Long> summaryNanos(long serverCode) {
        return Optional.ofNullable(summaries.get(serverCode)).map(summary -> summary.atNanos);
    }

    private void expire(long serverCode, Map<Object, Count> counts, long nowNanos) {
        int expired = 0;
        Iterator<Count> remaining = counts.values().iterator();
        while (remaining.hasNext()) {
            Count count = remaining.next();
            if (nowNanos - count.atNanos > EXPIRY_NANOS) {
                expired += count.inFlight;
                remaining.remove();
            }
        }
        add(serverCode, -expired);
    }

    private void add(long serverCode, int change) {
        if (change == 0) {
            return;
        }
        int total = totals.getOrDefault(serverCode, 0) + change;
        if (total == 0) {
            totals.remove(serverCode);
        } else {
            totals.put(serverCode, total);
        }
    }

    /**
     * The last count of a VM. Changed in place, since most reports repeat a count; only the writing thread reads it.
     */
    private static final class Count {
        private int inFlight;
        private long atNanos;

        Count(int inFlight, long atNanos) {
            this.inFlight = inFlight;
            this.atNanos = atNanos;
        }
    }

    /** The last count of a summary. Changed in place by the writing thread. */
    private static final class SummaryCount {
        private volatile int inFlight;
        private volatile long atNanos;

        SummaryCount(int inFlight, long atNanos) {
            this.inFlight = inFlight;
            this.atNanos = atNanos;
        }
    }
}
