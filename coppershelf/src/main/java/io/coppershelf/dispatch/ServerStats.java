package io.coppershelf.dispatch;

import io.coppershelf.catalog.BackendServer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** The statistics of this VM on one server: its load and the network path to it. Not thread-safe. */
public final class ServerStats {
    /** Time constant with which a reported load decays; requests last some hundred milliseconds. */
    private static final double REPORT_DECAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    /** Backoff after a first failed connection attempt. */
    private static final long MIN_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Longest backoff; it doubles with each consecutive failure. */
    private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(8);

    /** Longest pause that a server can request; a longer one is more likely an error. */
    private static final long MAX_PAUSE_NANOS = TimeUnit.MINUTES.toNanos(5);

    private final long startedMillis;
    private final String key;
    private final long code;
    private int inFlight;
    private int idleConnections;
    private long idleConnectionNanos;
    private int reportedLoad;
    private long reportedAtNanos;
    private boolean hasReport;
    private long backoffUntilNanos;
    private int consecutiveFailures;
    private Optional<Long> pausedUntilNanos = Optional.empty();
    private Optional<RequestTurns> turns = Optional.empty();

    ServerStats(BackendServer server) {
        startedMillis = server.startedMillis();
        key = server.key();
        code = FleetLoad.codeOf(key);
    }

    /** Returns whether these are the statistics of this incarnation of the server; the id must be the same. */
    boolean isOf(BackendServer server) {
        return startedMillis == server.startedMillis();
    }

    /** Returns the key of the server in health estimates. */
    public String key() {
        return key;
    }

    /** Returns the hash that identifies the server in messages. */
    public long code() {
        return code;
    }

    /** Counts the start of a request to the server. */
    public void requestStarted(long nowNanos) {
        inFlight++;
        turns.ifPresent(limited -> limited.use(nowNanos));
    }

    /** Counts the end of a request. */
    public void requestEnded() {
        inFlight--;
    }

    /** Returns the number of requests that this VM has in flight at the server. */
    public int inFlight() {
        return inFlight;
    }

    /** Records that this VM has more or fewer idle connections to the server. */
    public void recordIdleConnections(int count, long nowNanos) {
        if (count > idleConnections) {
            idleConnectionNanos = nowNanos;
        }
        idleConnections = count;
    }

    /**
     * Returns whether this VM has a connection to the server that has not been idle for too long.
     *
     * @param maxIdleNanos the longest idle time of a connection that can be reused
     */
    boolean hasIdleConnection(long maxIdleNanos, long nowNanos) {
        return idleConnections > 0 && nowNanos - idleConnectionNanos <= maxIdleNanos;
    }

    /** Records the load that the server reported, the sum of running and queued requests. */
    public void recordReportedLoad(int load, long nowNanos) {
        reportedLoad = load;
        reportedAtNanos = nowNanos;
        hasReport = true;
    }

    /** Records that there is a connection to the server, which ends the backoff. */
    public void recordPathSuccess() {
        consecutiveFailures = 0;
        backoffUntilNanos = 0;
    }

    /** Records that the server could not be reached, as the path or the server is down, which starts a new backoff. */
    public void recordPathFailure(long nowNanos) {
        long backoff = MIN_BACKOFF_NANOS << Math.min(consecutiveFailures, 3);
        consecutiveFailures++;
        backoffUntilNanos = nowNanos + Math.min(backoff, MAX_BACKOFF_NANOS);
    }

    /** Returns whether the server is avoided after failed connection attempts. */
    public boolean isInBackoff(long nowNanos) {
        return consecutiveFailures > 0 && nowNanos - backoffUntilNanos < 0;
    }

    /** Records that the server wants no requests of this VM for some time. */
    public void recordPause(long nanos, long nowNanos) {
        long untilNanos = nowNanos + Math.min(nanos, MAX_PAUSE_NANOS);
        pausedUntilNanos = Optional.of(
                pausedUntilNanos.filter(known -> known - untilNanos > 0).orElse(untilNanos));
    }

    /** Returns the remaining time for which the server wants no requests of this VM; 0 if it accepts them. */
    public long remainingPauseNanos(long nowNanos) {
        return pausedUntilNanos.map(until -> Math.max(0, until - nowNanos)).orElse(0L);
    }

    /** Applies the limit that the server names, empty if it names none. */
    void limit(Optional<ServerLimits.Limit> limit, FleetPosition position, long nowNanos) {
        turns = limit.map(named -> {
            RequestTurns current =
                    turns.orElseGet(() -> new RequestTurns(named.perSecond(), position, named.sinceNanos()));
            current.update(named.perSecond(), position, nowNanos);
            return current;
        });
    }

    /**
     * Returns the time until the server is likely to accept a request of some VM, as it requested a pause of this one
     * or is at its limit; 0 if this VM may send a request now.
     */
    long remainingWaitNanos(long nowNanos) {
        long limitNanos = turns.filter(limited -> !limited.isOpen(nowNanos))
                .map(RequestTurns::fleetIntervalNanos)
                .orElse(0L);
        return Math.max(remainingPauseNanos(nowNanos), limitNanos);
    }

    /**
     * Returns the estimated number of requests that the server has, from its own report and the requests that the VMs
     * have in flight.
     *
     * @param inFlightOfOthers the requests that other VMs have in flight at the server
     */
    public double estimatedLoad(int inFlightOfOthers, long nowNanos) {
        int sent = inFlight + inFlightOfOthers;
        if (!hasReport) {
            return sent;
        }
        double freshness = Math.exp(-(nowNanos - reportedAtNanos) / REPORT_DECAY_NANOS);
        return Math.max(sent, reportedLoad * freshness);
    }
}
