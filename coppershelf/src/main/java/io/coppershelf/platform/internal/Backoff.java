package io.coppershelf.platform.internal;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter: the delay doubles with each consecutive failure up to a limit, and half of it is
 * random so that the VMs do not retry at the same time. Not thread-safe.
 */
final class Backoff {
    private static final Duration INITIAL_DELAY = Duration.ofMillis(200);
    private static final Duration MAX_DELAY = Duration.ofSeconds(5);
    private static final int MAX_DOUBLINGS = 10;

    private final RandomGenerator random;
    private int failures;
    private long retryNanos;

    Backoff(RandomGenerator random) {
        this.random = random;
    }

    /** Records a success. */
    void succeeded() {
        failures = 0;
    }

    /** Records a failure at the given monotonic time. */
    void failed(long nowNanos) {
        long doubled = INITIAL_DELAY.toNanos() << Math.min(failures, MAX_DOUBLINGS);
        long delay = Math.min(doubled, MAX_DELAY.toNanos());
        retryNanos = nowNanos + delay / 2 + random.nextLong(delay / 2 + 1);
        failures++;
    }

    /** Returns how long to wait before the next call. */
    Duration remaining(long nowNanos) {
        return failures == 0 ? Duration.ZERO : Duration.ofNanos(Math.max(0, retryNanos - nowNanos));
    }
}
