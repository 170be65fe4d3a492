package io.coppershelf.overload;

import java.time.Duration;
import java.util.Random;

/**
 * The time after which a refused caller may return: sooner if it loses more, later the fewer requests are admitted, and
 * with a random part, so that the callers of a burst do not return together.
 */
final class RetryAdvice {
    /** Time for the most urgent caller when nearly all requests are admitted. */
    private static final double BASE_MILLIS = 300;
    /** Longest time before the random part. */
    private static final double MAX_MILLIS = 8000;
    /** Least share of admitted requests that counts. */
    private static final double MIN_SHARE = 0.1;

    private final Random random;

    RetryAdvice(Random random) {
        this.random = random;
    }

    /**
     * Returns the time.
     *
     * @param index the place of the request's rank, 0 is the most urgent
     * @param admittedShare the share of the requests that were admitted of late
     */
    Duration retryAfter(int index, double admittedShare) {
        double millis = BASE_MILLIS * (index + 1) / Math.max(MIN_SHARE, admittedShare);
        double spread = 1 + random.nextDouble();
        return Duration.ofMillis((long) (Math.min(MAX_MILLIS, millis) * spread));
    }
}
