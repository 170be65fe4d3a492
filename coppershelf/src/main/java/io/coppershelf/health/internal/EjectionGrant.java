package io.coppershelf.health.internal;

import java.time.Duration;

/**
 * The grant (time-limited, revocable right) to eject one server: when to request it, when to renew it and when it ends.
 */
public final class EjectionGrant {
    private static final long REQUEST_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    /** The pause after a revocation before the grant is requested again. */
    private static final long REVOKED_PAUSE_NANOS = Duration.ofSeconds(5).toNanos();

    private boolean held;
    private long untilNanos;
    private long renewNanos;
    private boolean requested;
    private long nextRequestNanos;

    /** Returns whether it is time to request the grant; if so, records that it was requested. */
    public boolean shouldRequest(long nowNanos) {
        boolean isDue = !held || nowNanos - renewNanos >= 0;
        if (!isDue || (requested && nowNanos - nextRequestNanos < 0)) {
            return false;
        }
        requested = true;
        nextRequestNanos = nowNanos + REQUEST_INTERVAL_NANOS;
        return true;
    }

    /** Records that the grant is held until the given time; it is renewed after half of that time. */
    public void grant(long nowNanos, long until) {
        held = true;
        untilNanos = until;
        renewNanos = nowNanos + (until - nowNanos) / 2;
    }

    /** Records that the grant was revoked. */
    public void revoke(long nowNanos) {
        held = false;
        requested = true;
        nextRequestNanos = nowNanos + REVOKED_PAUSE_NANOS;
    }

    /** Releases the grant; returns whether it was held. */
    public boolean release() {
        boolean wasHeld = held;
        held = false;
        requested = false;
        return wasHeld;
    }

    /** Returns whether the grant is held at the given time. */
    public boolean isHeld(long nowNanos) {
        return held && nowNanos - untilNanos < 0;
    }
}
