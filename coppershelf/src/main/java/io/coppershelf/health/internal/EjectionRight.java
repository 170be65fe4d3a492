package io.coppershelf.health.internal;

import java.time.Duration;

/** The right to eject one server: when to ask for it, when to renew it, when it ends. */
public final class EjectionRight {
    private static final long ASK_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    /** How long the right is not asked for after it was revoked. */
    private static final long REVOKED_PAUSE_NANOS = Duration.ofSeconds(5).toNanos();

    private boolean held;
    private long untilNanos;
    private long renewNanos;
    private boolean asked;
    private long nextAskNanos;

    /** Returns whether it is time to ask for the right, and counts it as asked then. */
    public boolean shouldRequest(long nowNanos) {
        boolean wanted = !held || nowNanos - renewNanos >= 0;
        if (!wanted || (asked && nowNanos - nextAskNanos < 0)) {
            return false;
        }
        asked = true;
        nextAskNanos = nowNanos + ASK_INTERVAL_NANOS;
        return true;
    }

    /** Takes in that the right is held until the given time; it is renewed after half of that. */
    public void grant(long nowNanos, long until) {
        held = true;
        untilNanos = until;
        renewNanos = nowNanos + (until - nowNanos) / 2;
    }

    /** Takes in that the right was revoked. */
    public void revoke(long nowNanos) {
        held = false;
        asked = true;
        nextAskNanos = nowNanos + REVOKED_PAUSE_NANOS;
    }

    /** Forgets the right; returns whether it was held. */
    public boolean release() {
        boolean wasHeld = held;
        held = false;
        asked = false;
        return wasHeld;
    }

    /** Returns whether the right is held at the given time. */
    public boolean isHeld(long nowNanos) {
        return held && nowNanos - untilNanos < 0;
    }
}
