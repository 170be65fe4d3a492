package io.coppershelf.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;

/**
 * Keeps servers in use: nearly all servers of a service that are not suspected have a request every other second, so
 * that no sound server stays idle while others fail or are lost, and a server that has recovered is found. Which server
 * had a request last is noted for the whole fleet. One thread changes it; any thread reads.
 */
public final class IdleServerTracker {
    /** The share of the servers that stay in use; above the floor of seven tenths, as some of them may be down. */
    private static final double USED_SHARE = 0.85;
    /**
     * A server counts as unused after this time for a request that may be sent again; within the two seconds over which
     * the floor is counted.
     */
    private static final long UNUSED_NANOS = TimeUnit.MILLISECONDS.toNanos(1300);
    /** The same for one that may not; a repeatable request usually came first. */
    private static final long UNUSED_FOR_LAST_CHANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1700);

    private final Map<Long, Long> beganNanos = new ConcurrentHashMap<>();

    /** Notes a request that was sent to a server by any VM. */
    public void recordRequest(long serverCode, long nowNanos) {
        beganNanos.put(serverCode, nowNanos);
    }

    /** Forgets all servers but the given ones. */
    public void retain(Set<Long> serverCodes) {
        beganNanos.keySet().retainAll(serverCodes);
    }

    /**
     * Returns the servers among which the next request has to choose to keep the floor; empty if it is kept.
     *
     * @param servers the servers of the service that take requests and are not suspected
     * @param codes returns the number that stands for a server in messages
     * @param isLastChance whether the request can't be sent again if the server fails it
     */
    public <S> List<S> idleServers(List<S> servers, ToLongFunction<S> codes, boolean isLastChance, long nowNanos) {
        long limitNanos = isLastChance ? UNUSED_FOR_LAST_CHANCE_NANOS : UNUSED_NANOS;
        List<S> unused = servers.stream()
                .filter(server -> isUnused(codes.applyAsLong(server), limitNanos, nowNanos))
                .toList();
        boolean isFloorKept = unused.size() <= (1 - USED_SHARE) * servers.size();
        return isFloorKept ? List.of() : unused;
    }

    private boolean isUnused(long serverCode, long limitNanos, long nowNanos) {
        Long began = beganNanos.get(serverCode);
        return began == null || nowNanos - began > limitNanos;
    }
}
