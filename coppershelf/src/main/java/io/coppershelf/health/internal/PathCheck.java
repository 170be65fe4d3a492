package io.coppershelf.health.internal;

import java.time.Duration;

/**
 * Distinguishes a server that is down from a broken network path between it and this VM: a server that only this VM
 * can't reach is avoided by this VM, but not ejected.
 */
public final class PathCheck {
    /** The state of the path. */
    public enum State {
        /** No result is known yet. */
        UNKNOWN,
        /** This VM can reach the server. */
        CLEAR,
        /** This VM can't reach the server; other VMs can reach it or have not replied. */
        BROKEN,
        /** Neither this VM nor another one can reach the server. */
        DOWN
    }

    private static final int MIN_CONNECT_FAILURES = 3;
    /** How long a report of another VM is valid. */
    private static final long REPORT_VALID_NANOS = Duration.ofSeconds(5).toNanos();

    private int connectFailures;
    private State ownState = State.UNKNOWN;
    private boolean reportedReachable;
    private boolean reportedUnreachable;
    private long reportedNanos;

    /** Records that a connection could not be opened. */
    public void recordConnectFailure() {
        connectFailures++;
        if (connectFailures >= MIN_CONNECT_FAILURES) {
            ownState = State.BROKEN;
        }
    }

    /** Records that the server answered this VM. */
    public void recordAnswer() {
        connectFailures = 0;
        ownState = State.CLEAR;
    }

    /** Records that a probe was not answered. */
    public void recordProbeFailure() {
        ownState = State.BROKEN;
    }

    /** Resets the state at the start of a suspicion. */
    public void reset() {
        ownState = connectFailures >= MIN_CONNECT_FAILURES ? State.BROKEN : State.UNKNOWN;
        reportedReachable = false;
        reportedUnreachable = false;
    }

    /** Records whether another VM can reach the server. */
    public void recordPeerReport(boolean reachable, long nowNanos) {
        reportedReachable |= reachable;
        reportedUnreachable |= !reachable;
        reportedNanos = nowNanos;
    }

    /** Returns the state of the path at the given time. */
    public State state(long nowNanos) {
        boolean isReportValid = nowNanos - reportedNanos <= REPORT_VALID_NANOS;
        boolean isDown = ownState == State.BROKEN && isReportValid && reportedUnreachable && !reportedReachable;
        return isDown ? State.DOWN : ownState;
    }
}
