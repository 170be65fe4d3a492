package io.coppershelf.health.internal;

import java.time.Duration;

/**
 * The time during which this process was running: the sum of the gaps between events, each up to a limit. A pause of
 * this process thus doesn't count as evidence against a server.
 */
public final class ObservedClock {
    /** The longest gap between two events that counts in full; a tick is due every 50 ms. */
    private static final long GAP_LIMIT_NANOS = Duration.ofMillis(60).toNanos();

    private long lastNanos;
    private long observedNanos;
    private boolean started;

    /** Advances to the monotonic time of the current event. */
    public void advance(long nowNanos) {
        if (started) {
            observedNanos += Math.max(0, Math.min(nowNanos - lastNanos, GAP_LIMIT_NANOS));
        }
        started = true;
        lastNanos = nowNanos;
    }

    /** Returns the observed time; only differences have a meaning. */
    public long observedNanos() {
        return observedNanos;
    }
}
