package io.coppershelf.health.estimate;

import java.util.concurrent.TimeUnit;

/**
 * The probability that a server is sick, by a hidden Markov model with two states: well servers turn sick and sick ones
 * recover at constant rates, and each observation weighs by its likelihood in either state. Immutable.
 *
 * @param unhealthyProbability the probability at the time of the last observation, between 0 and 1
 * @param atNanos the monotonic time of the last observation
 * @param failedNanos the monotonic time of the last bad observation, {@link Long#MIN_VALUE} before the first
 */
public record HealthEstimate(double unhealthyProbability, long atNanos, long failedNanos) {
    /** Mean time that a server stays sick, in seconds; gray failures of the workloads last several seconds. */
    static final double MEAN_SICK_SECONDS = 10;
    /** Mean time that a server stays well, in seconds; at any time up to a quarter of the servers fail grayly. */
    static final double MEAN_WELL_SECONDS = 30;
    /** The share of the time that a server is sick, which is believed of a server without observations. */
    public static final double BASE_SICKNESS = MEAN_SICK_SECONDS / (MEAN_SICK_SECONDS + MEAN_WELL_SECONDS);

    private static final double RELAXATION_PER_SECOND = 1 / MEAN_SICK_SECONDS + 1 / MEAN_WELL_SECONDS;
    /** Bounds of the probability, so that a few contrary observations always suffice to change the verdict. */
    private static final double LOWEST = 0.002;

    private static final double HIGHEST = 0.995;
    /** From this probability on, a server counts as suspected in logs. */
    private static final double SUSPECT = 0.4;
    /** Time after which most sicknesses are over, in seconds; a server that failed longer ago may be tried. */
    private static final double RETRY_SECONDS = 11;
    /** For comparisons of probabilities. */
    private static final double TOLERANCE = 1e-6;
    /** From this probability on, peers hear of good observations too; below it they would learn little from one. */
    private static final double UNCERTAIN = 0.1;

    /** Returns the belief in a server without observations. */
    public static HealthEstimate initial(long nowNanos) {
        return new HealthEstimate(BASE_SICKNESS, nowNanos, Long.MIN_VALUE);
    }

    /** Returns the belief after an observation. */
    public HealthEstimate after(Observation observation, long nowNanos) {
        double before = unhealthyProbabilityAt(nowNanos);
        double odds = before / (1 - before) * observation.likelihoodRatio();
        double after = Math.min(HIGHEST, Math.max(LOWEST, odds / (1 + odds)));
        return new HealthEstimate(after, nowNanos, observation.isNegative() ? nowNanos : failedNanos);
    }

    /** Returns the probability at a time; without observations it returns to the base. */
    public double unhealthyProbabilityAt(long nowNanos) {
        double seconds = secondsSince(atNanos, nowNanos);
        return BASE_SICKNESS + (unhealthyProbability - BASE_SICKNESS) * Math.exp(-RELAXATION_PER_SECOND * seconds);
    }

    /** Returns whether a good observation is worth telling others at a time. */
    boolean isUncertain(long nowNanos) {
        return unhealthyProbabilityAt(nowNanos) >= UNCERTAIN;
    }

    /** Returns whether the server is suspected at a time. */
    public boolean isSuspected(long nowNanos) {
        return unhealthyProbabilityAt(nowNanos) >= SUSPECT;
    }

    /**
     * Returns whether a request may find out how the server is: it is no more likely sick than one of which nothing is
     * known, or its last failure was so long ago that it may have recovered.
     */
    public boolean allowsTrialRequest(long nowNanos) {
        boolean isOldFailure = failedNanos != Long.MIN_VALUE && secondsSince(failedNanos, nowNanos) >= RETRY_SECONDS;
        return isOldFailure || unhealthyProbabilityAt(nowNanos) <= BASE_SICKNESS + TOLERANCE;
    }

    private static double secondsSince(long fromNanos, long nowNanos) {
        return Math.max(0, nowNanos - fromNanos) / (double) TimeUnit.SECONDS.toNanos(1);
    }
}
