package io.coppershelf.admission.internal;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * When a refused caller should come back: once the present queue has been worked off, longer the more is refused, and
 * spread at random so that refused callers do not come back together.
 */
public final class RetryAfterEstimate {
    private static final Duration LEAST = Duration.ofSeconds(1);
    private static final Duration LONGEST = Duration.ofSeconds(30);
    private static final double SAMPLE_WEIGHT = 0.02;
    private static final double SPREAD = 0.25;
    private static final double LEAST_ADMITTED_SHARE = 0.05;

    private final RandomGenerator random;
    private double admittedShare = 1.0;

    /** Returns an estimate that spreads by the given source. */
    public RetryAfterEstimate(RandomGenerator random) {
        this.random = random;
    }

    /** Takes in whether a request was admitted. */
    public void recordDecision(boolean admitted) {
        admittedShare += SAMPLE_WEIGHT * ((admitted ? 1.0 : 0.0) - admittedShare);
    }

    /** Returns the time after which to come back, with the given expected wait now. */
    public Duration retryAfter(long expectedWaitNanos) {
        double pressure = 1.0 / Math.max(LEAST_ADMITTED_SHARE, admittedShare);
        double spread = 1 + SPREAD * (2 * random.nextDouble() - 1);
        double nanos = Math.max((double) LEAST.toNanos(), (double) expectedWaitNanos * pressure) * spread;
        return Duration.ofNanos((long) Math.min(nanos, (double) LONGEST.toNanos()));
    }
}
