package io.coppershelf.dispatch;

import io.coppershelf.catalog.BackendServer;
import java.util.concurrent.TimeUnit;

/** What this VM knows of the load of one server and of the path to it. Not safe for several threads. */
public final class ServerStats {
    /** How long a reported load is of any worth; requests last some hundred milliseconds. */
    private static final double REPORT_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    /** First time for which a server is avoided after a failed connection attempt. */
    private static final long SHORTEST_AVOIDANCE_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Longest such time; it doubles with each failure in a row. */
    private static final long LONGEST_AVOIDANCE_NANOS = TimeUnit.SECONDS.toNanos(8);

    private final long bornMillis;
    private final String key;
    private final long code;
    private int inFlight;
    private int reportedBusy;
    private long reportedAtNanos;
    private boolean hasReport;
    private long avoidUntilNanos;
    private int failuresInRow;

    ServerStats(BackendServer server) {
        bornMillis = server.bornMillis();
        key = server.key();
        code = FleetLoad.codeOf(key);
    }

    /** Returns whether this is the use of the incarnation of the server with the same id. */
    boolean isOf(BackendServer server) {
        return bornMillis == server.bornMillis();
    }

    /** Returns the key of the server in beliefs. */
    public String key() {
        return key;
    }

    /** Returns the number that stands for the server in messages. */
    public long code() {
        return code;
    }

    /** Counts a request that goes to the server. */
    public void requestStarted() {
        inFlight++;
    }

    /** Counts the end of a request. */
    public void requestEnded() {
        inFlight--;
    }

    /** Returns the requests of this VM that the server has. */
    public int inFlight() {
        return inFlight;
    }

    /** Takes the load that the server reported, running and waiting requests together. */
    public void recordReportedLoad(int busy, long nowNanos) {
        reportedBusy = busy;
        reportedAtNanos = nowNanos;
        hasReport = true;
    }

    /** Notes that a connection could be established, or that an answer came. */
    public void recordPathSuccess() {
        failuresInRow = 0;
        avoidUntilNanos = 0;
    }

    /** Notes that no connection could be established; the path or the server is down. */
    public void recordPathFailure(long nowNanos) {
        long avoidance = SHORTEST_AVOIDANCE_NANOS << Math.min(failuresInRow, 3);
        failuresInRow++;
        avoidUntilNanos = nowNanos + Math.min(avoidance, LONGEST_AVOIDANCE_NANOS);
    }

    /** Returns whether the path is avoided after failed connection attempts. */
    public boolean isInBackoff(long nowNanos) {
        return failuresInRow > 0 && nowNanos - avoidUntilNanos < 0;
    }

    /**
     * Returns an estimate of the requests that the server has, by its own report and by what the VMs sent.
     *
     * @param inFlightOfOthers the requests of other VMs
     */
    public double estimatedLoad(int inFlightOfOthers, long nowNanos) {
        int sent = inFlight + inFlightOfOthers;
        if (!hasReport) {
            return sent;
        }
        double freshness = Math.exp(-(nowNanos - reportedAtNanos) / REPORT_LIFE_NANOS);
        return Math.max(sent, reportedBusy * freshness);
    }
}
