package io.coppershelf.health.internal;

import java.time.Duration;

/** How long a server stays ejected before probation: doubled for each ejection that follows soon on another. */
public final class EjectionBackoff {
    private static final Duration FIRST = Duration.ofSeconds(5);
    private static final Duration LONGEST = Duration.ofMinutes(5);
    /** The time in good service after which the hold time is halved. */
    private static final Duration RECOVERY = Duration.ofMinutes(1);

    private Duration next = FIRST;
    private long recoveredNanos;

    /** Returns the hold time of an ejection and doubles the next one. */
    public Duration nextDuration(long nowNanos) {
        Duration hold = next;
        next = min(next.multipliedBy(2), LONGEST);
        recoveredNanos = nowNanos;
        return hold;
    }

    /** Halves the hold time for each span of good service since the last ejection. */
    public void recordHealthy(long nowNanos) {
        if (next.compareTo(FIRST) > 0 && nowNanos - recoveredNanos >= RECOVERY.toNanos()) {
            next = max(next.dividedBy(2), FIRST);
            recoveredNanos = nowNanos;
        }
    }

    /** Returns whether the server was ejected not long ago. */
    public boolean wasRecentlyEjected() {
        return next.compareTo(FIRST) > 0;
    }

    private static Duration min(Duration a, Duration b) {
        return a.compareTo(b) <= 0 ? a : b;
    }

    private static Duration max(Duration a, Duration b) {
        return a.compareTo(b) >= 0 ? a : b;
    }
}
