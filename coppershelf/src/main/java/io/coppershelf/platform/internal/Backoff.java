package io.coppershelf.platform.internal;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Delays after failures: doubled with each failure in a row up to a limit, and half of each drawn at random so that VMs
 * do not return together. Not safe for use by several threads.
 */
final class Backoff {
    private static final Duration FIRST = Duration.ofMillis(200);
    private static final Duration LONGEST = Duration.ofSeconds(5);
    private static final int MOST_DOUBLINGS = 10;

    private final RandomGenerator random;
    private int failures;
    private long retryNanos;

    Backoff(RandomGenerator random) {
        this.random = random;
    }

    /** Takes in a success. */
    void succeeded() {
        failures = 0;
    }

    /** Takes in a failure at the given monotonic time. */
    void failed(long nowNanos) {
        long doubled = FIRST.toNanos() << Math.min(failures, MOST_DOUBLINGS);
        long delay = Math.min(doubled, LONGEST.toNanos());
        retryNanos = nowNanos + delay / 2 + random.nextLong(delay / 2 + 1);
        failures++;
    }

    /** Returns how long to wait before the next call. */
    Duration remaining(long nowNanos) {
        return failures == 0 ? Duration.ZERO : Duration.ofNanos(Math.max(0, retryNanos - nowNanos));
    }
}
