package io.coppershelf.admission.internal;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Estimates when a refused caller should retry: after the current queue has drained, later the larger the share of
 * refused requests, with random jitter so that refused callers do not retry at the same time.
 */
public final class RetryAfterEstimate {
    private static final Duration MIN_DELAY = Duration.ofSeconds(1);
    private static final Duration MAX_DELAY = Duration.ofSeconds(30);
    private static final double SAMPLE_WEIGHT = 0.02;
    private static final double JITTER = 0.25;
    private static final double MIN_ADMITTED_SHARE = 0.05;

    private final RandomGenerator random;
    private double admittedShare = 1.0;

    /** Creates an estimate with the given source of jitter. */
    public RetryAfterEstimate(RandomGenerator random) {
        this.random = random;
    }

    /** Records whether a request was admitted. */
    public void recordDecision(boolean admitted) {
        admittedShare += SAMPLE_WEIGHT * ((admitted ? 1.0 : 0.0) - admittedShare);
    }

    /** Returns the time after which to retry, for the given current expected wait. */
    public Duration retryAfter(long expectedWaitNanos) {
        double pressure = 1.0 / Math.max(MIN_ADMITTED_SHARE, admittedShare);
        double jitter = 1 + JITTER * (2 * random.nextDouble() - 1);
        double nanos = Math.max((double) MIN_DELAY.toNanos(), (double) expectedWaitNanos * pressure) * jitter;
        return Duration.ofNanos((long) Math.min(nanos, (double) MAX_DELAY.toNanos()));
    }
}
