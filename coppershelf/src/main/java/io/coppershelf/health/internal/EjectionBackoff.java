package io.coppershelf.health.internal;

import java.time.Duration;

/**
 * How long a server stays ejected before probation: an exponential backoff that doubles with each ejection and shrinks
 * with time in service.
 */
public final class EjectionBackoff {
    private static final Duration INITIAL_DURATION = Duration.ofSeconds(5);
    private static final Duration MAX_DURATION = Duration.ofMinutes(5);
    /** The time in healthy service after which the duration is halved. */
    private static final Duration RECOVERY_INTERVAL = Duration.ofMinutes(1);

    private Duration next = INITIAL_DURATION;
    private long recoveredNanos;

    /** Returns the duration of an ejection and doubles the next one. */
    public Duration nextDuration(long nowNanos) {
        Duration duration = next;
        next = min(next.multipliedBy(2), MAX_DURATION);
        recoveredNanos = nowNanos;
        return duration;
    }

    /** Halves the next duration after each interval of healthy service since the last ejection. */
    public void recordHealthy(long nowNanos) {
        if (next.compareTo(INITIAL_DURATION) > 0 && nowNanos - recoveredNanos >= RECOVERY_INTERVAL.toNanos()) {
            next = max(next.dividedBy(2), INITIAL_DURATION);
            recoveredNanos = nowNanos;
        }
    }

    /** Returns whether the server was ejected recently. */
    public boolean wasRecentlyEjected() {
        return next.compareTo(INITIAL_DURATION) > 0;
    }

    private static Duration min(Duration a, Duration b) {
        return a.compareTo(b) <= 0 ? a : b;
    }

    private static Duration max(Duration a, Duration b) {
        return a.compareTo(b) >= 0 ? a : b;
    }
}
