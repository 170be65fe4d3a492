package io.coppershelf.eventlog;

import java.util.concurrent.TimeUnit;

/** Allows a limited number of events in each second. */
final class RateLimiter {
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final int perSecond;
    private long secondStartNanos = System.nanoTime();
    private int acquired;

    RateLimiter(int perSecond) {
        this.perSecond = perSecond;
    }

    synchronized boolean tryAcquire() {
        long now = System.nanoTime();
        if (now - secondStartNanos >= SECOND_NANOS) {
            secondStartNanos = now;
            acquired = 0;
        }
        acquired++;
        return acquired <= perSecond;
    }
}
