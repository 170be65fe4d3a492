package io.coppershelf.health.internal;

import java.time.Duration;

/**
 * Tells a sick server from a broken path between it and this VM: a server that only this VM can't reach is avoided by
 * this VM, but not ejected.
 */
public final class PathCheck {
    /** What is known about the path. */
    public enum Verdict {
        /** Nothing was asked yet. */
        UNKNOWN,
        /** This VM reaches the server. */
        CLEAR,
        /** This VM can't reach the server and others can, or have not said. */
        BROKEN,
        /** Neither this VM nor another reaches the server. */
        DOWN
    }

    private static final int CONNECT_FAILURES = 3;
    /** How long the word of another VM counts. */
    private static final long HEARD_VALID_NANOS = Duration.ofSeconds(5).toNanos();

    private int connectFailures;
    private Verdict own = Verdict.UNKNOWN;
    private boolean heardReachable;
    private boolean heardUnreachable;
    private long heardNanos;

    /** Takes in that a connection could not be made. */
    public void recordConnectFailure() {
        connectFailures++;
        if (connectFailures >= CONNECT_FAILURES) {
            own = Verdict.BROKEN;
        }
    }

    /** Takes in that the server answered this VM. */
    public void recordAnswer() {
        connectFailures = 0;
        own = Verdict.CLEAR;
    }

    /** Takes in that a probe was not answered. */
    public void recordProbeFailure() {
        own = Verdict.BROKEN;
    }

    /** Forgets what was known, at the start of a suspicion. */
    public void reset() {
        own = connectFailures >= CONNECT_FAILURES ? Verdict.BROKEN : Verdict.UNKNOWN;
        heardReachable = false;
        heardUnreachable = false;
    }

    /** Takes in whether another VM reaches the server. */
    public void recordPeerReport(boolean reachable, long nowNanos) {
        heardReachable |= reachable;
        heardUnreachable |= !reachable;
        heardNanos = nowNanos;
    }

    /** Returns what is known. */
    public Verdict verdict(long nowNanos) {
        boolean heardValid = nowNanos - heardNanos <= HEARD_VALID_NANOS;
        boolean down = own == Verdict.BROKEN && heardValid && heardUnreachable && !heardReachable;
        return down ? Verdict.DOWN : own;
    }
}
