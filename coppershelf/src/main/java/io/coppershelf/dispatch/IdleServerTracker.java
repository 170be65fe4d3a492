package io.coppershelf.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Finds servers that have had no request for some time. Each server of a service that is not suspected gets a request
 * every two seconds if there are enough requests, so that no healthy server stays idle while others fail or are lost,
 * and the recovery of a server is detected. No share of the servers may be idle: an idle server is chosen ever later,
 * as its last success grows old, so the same ones would stay idle, and they may be the only ones that are healthy.
 * Requests of all VMs count. One thread writes; any thread reads.
 */
public final class IdleServerTracker {
    /**
     * Time without a request after which a server is idle for a request that can be retried; shorter than the two
     * seconds over which the floor is measured, by the delay of reports in a large fleet and the wait for a request.
     */
    private static final long IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(1100);
    /**
     * The same time for a request that can't be retried; longer, so that usually a request that can be retried comes
     * first.
     */
    private static final long IDLE_FOR_LAST_ATTEMPT_NANOS = TimeUnit.MILLISECONDS.toNanos(1700);

    /** Smallest time between two requests that test the health of a server. */
    private static final long TEST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

    private volatile Predicate<String> covered = dataCentre -> true;
    private final Map<Long, Long> lastRequestNanos = new ConcurrentHashMap<>();

    /**
     * Sets which data centres this VM keeps the servers of in use: those whose requests it sees all.
     *
     * @param coveredDataCentres returns whether a data centre is one of them
     */
    public void limitTo(Predicate<String> coveredDataCentres) {
        covered = coveredDataCentres;
    }

    /** Returns whether this VM keeps the servers of the data centre in use. */
    public boolean covers(String dataCentre) {
        return covered.test(dataCentre);
    }

    /**
     * Records that some VM sent a request to a server.
     *
     * @return whether the server was idle, so that other VMs choose it too until they know of the request
     */
    public boolean recordRequest(long serverCode, long nowNanos) {
        boolean wasIdle = isIdle(serverCode, IDLE_NANOS, nowNanos);
        lastRequestNanos.put(serverCode, nowNanos);
        return wasIdle;
    }

    /** Removes all servers but the given ones. */
    public void retain(Set<Long> serverCodes) {
        lastRequestNanos.keySet().retainAll(serverCodes);
    }

    /**
     * Returns the idle servers, one of which has to get the next request to keep the floor.
     *
     * @param servers the servers of the service that accept requests and are not suspected
     * @param codes returns the hash that identifies a server in messages
     * @param isLastAttempt whether the request can't be retried if the server fails it
     */
    public <S> List<S> idleServers(List<S> servers, ToLongFunction<S> codes, boolean isLastAttempt, long nowNanos) {
        long limitNanos = isLastAttempt ? IDLE_FOR_LAST_ATTEMPT_NANOS : IDLE_NANOS;
        return servers.stream()
                .filter(server -> isIdle(codes.applyAsLong(server), limitNanos, nowNanos))
                .toList();
    }

    /** Returns whether a server has had no request for so long that the next request of any kind goes to it. */
    boolean isOverdue(long serverCode, long nowNanos) {
        return isIdle(serverCode, IDLE_FOR_LAST_ATTEMPT_NANOS, nowNanos);
    }

    /**
     * Returns whether a server has had no request for so long that another one may test its health. After a recent
     * error, which shows that there was a request, this takes longer, as the test would most likely fail, but no longer
     * than a healthy server may be idle.
     */
    boolean allowsTest(long serverCode, boolean hasRecentError, long nowNanos) {
        return hasRecentError
                ? lastRequestNanos.containsKey(serverCode) && isIdle(serverCode, IDLE_NANOS, nowNanos)
                : isIdle(serverCode, TEST_INTERVAL_NANOS, nowNanos);
    }

    /** Returns the time since the last request to a server, empty if there was none. */
    Optional<Duration> idleTime(long serverCode, long nowNanos) {
        return Optional.ofNullable(lastRequestNanos.get(serverCode))
                .map(last -> Duration.ofNanos(Math.max(0, nowNanos - last)));
    }

    /** Returns whether a server has had no request for a time. */
    boolean isIdle(long serverCode, long limitNanos, long nowNanos) {
        Long lastRequest = lastRequestNanos.get(serverCode);
        return lastRequest == null || nowNanos - lastRequest > limitNanos;
    }
}
