package io.coppershelf.dispatch;

import io.coppershelf.catalog.BackendServer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Keeps servers in use: while a service fails a noticeable share of its requests, nearly all of its servers are due for
 * some, so that no sound server stays idle. The choice leaves out those that are suspected: work that is sent to them
 * for the floor's sake fails and would keep the share of failures up. Which server had a request last, and how many
 * failed, is counted over the whole fleet. One thread changes it; any thread reads.
 */
public final class ServiceSpread {
    /** The share of the servers that stay in use; above the floor of seven tenths, as some of them may be down. */
    private static final double USED_SHARE = 0.85;
    /** The share of failures from which the floor is kept; below the tenth at which users look at it. */
    private static final double FAILING_SHARE = 0.07;
    /** Requests below which a share says nothing. */
    private static final double LEAST_REQUESTS = 4;
    /** Counts fade with this time constant, about the two seconds over which the floor is counted. */
    private static final double FADING_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);
    /** A server counts as unused after this time for a request that may be sent again. */
    private static final long UNUSED_NANOS = TimeUnit.MILLISECONDS.toNanos(1300);
    /** The same for one that may not; a repeatable request usually came first. */
    private static final long UNUSED_FOR_LAST_CHANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1700);

    private final Map<Long, Use> uses = new ConcurrentHashMap<>();

    /** Counts a request that was sent to a server by any VM. */
    public void began(long serverCode, long nowNanos) {
        Use use = uses.getOrDefault(serverCode, Use.NONE);
        uses.put(serverCode, new Use(nowNanos, nowNanos, use.requests(nowNanos) + 1, use.failures(nowNanos)));
    }

    /** Counts a request that a server failed. */
    public void failed(long serverCode, long nowNanos) {
        Use use = uses.getOrDefault(serverCode, Use.NONE);
        uses.put(serverCode, new Use(use.beganNanos, nowNanos, use.requests(nowNanos), use.failures(nowNanos) + 1));
    }

    /** Forgets all servers but the given ones. */
    public void retain(Set<Long> serverCodes) {
        uses.keySet().retainAll(serverCodes);
    }

    /**
     * Returns the servers among which the next request has to choose to keep the floor; empty if it is kept.
     *
     * @param servers the servers of the service that take requests
     * @param isLastChance whether the request can't be sent again if the server fails it
     */
    public List<BackendServer> unused(List<BackendServer> servers, boolean isLastChance, long nowNanos) {
        double requests = 0;
        double failures = 0;
        List<BackendServer> unused = new ArrayList<>();
        long limitNanos = isLastChance ? UNUSED_FOR_LAST_CHANCE_NANOS : UNUSED_NANOS;
        for (BackendServer server : servers) {
            Use use = uses.getOrDefault(FleetLoad.codeOf(ServerChooser.keyOf(server)), Use.NONE);
            requests += use.requests(nowNanos);
            failures += use.failures(nowNanos);
            if (Use.NONE.equals(use) || nowNanos - use.beganNanos > limitNanos) {
                unused.add(server);
            }
        }
        boolean isFailing = requests >= LEAST_REQUESTS && failures >= FAILING_SHARE * requests;
        boolean isFloorKept = unused.size() <= (1 - USED_SHARE) * servers.size();
        return !isFailing || isFloorKept ? List.of() : unused;
    }

    /** The fading counts of one server at a time. */
    private record Use(long beganNanos, long atNanos, double requestCount, double failureCount) {
        private static final Use NONE = new Use(0, 0, 0, 0);

        double requests(long nowNanos) {
            return requestCount * fading(nowNanos);
        }

        double failures(long nowNanos) {
            return failureCount * fading(nowNanos);
        }

        private double fading(long nowNanos) {
            return Math.exp(-Math.max(0, nowNanos - atNanos) / FADING_NANOS);
        }
    }
}
