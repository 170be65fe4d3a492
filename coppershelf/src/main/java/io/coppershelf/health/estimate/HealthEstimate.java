package io.coppershelf.health.estimate;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The probability that a server is unhealthy, estimated with a hidden Markov model of two states: healthy servers
 * become unhealthy and unhealthy ones recover at constant rates, and each observation is weighted by its likelihood in
 * either state. Immutable.
 *
 * @param unhealthyProbability the probability at the time of the last observation, between 0 and 1
 * @param atNanos the monotonic time of the last observation
 * @param failedNanos the monotonic time of the last negative observation, {@link Long#MIN_VALUE} before the first
 * @param errorNanos the monotonic time of the last failed answer that this VM knows of, {@link Long#MIN_VALUE} before
 *     the first; a server that refuses requests since it is full has none
 * @param episodeNanos the monotonic time at which the server was last known to be in a failure episode,
 *     {@link Long#MIN_VALUE} if it never was
 * @param evidence the last negative observation, empty before the first and if only other VMs know what they observed
 */
public record HealthEstimate(
        double unhealthyProbability,
        long atNanos,
        long failedNanos,
        long errorNanos,
        long episodeNanos,
        Optional<Observation> evidence) {
    /**
     * Mean duration of the unhealthy state, in seconds; gray failures in the expected workloads last several seconds.
     */
    static final double MEAN_UNHEALTHY_SECONDS = 10;
    /**
     * Mean duration of the healthy state, in seconds; up to a quarter of the servers have a gray failure at any time.
     */
    static final double MEAN_HEALTHY_SECONDS = 30;
    /** Share of the time that a server is unhealthy, which is the probability for a server without observations. */
    public static final double BASE_PROBABILITY =
            MEAN_UNHEALTHY_SECONDS / (MEAN_UNHEALTHY_SECONDS + MEAN_HEALTHY_SECONDS);

    private static final double RELAXATION_PER_SECOND = 1 / MEAN_UNHEALTHY_SECONDS + 1 / MEAN_HEALTHY_SECONDS;
    /** Bounds of the probability, so that a few contrary observations always suffice to reverse the estimate. */
    private static final double MIN_PROBABILITY = 0.002;

    private static final double MAX_PROBABILITY = 0.995;
    /** Smallest probability at which a server is logged as suspected. */
    private static final double SUSPECTED_PROBABILITY = 0.4;
    /**
     * Time after which most gray failures are over, in seconds; a server whose last failure is older may get a trial
     * request.
     */
    private static final double TRIAL_DELAY_SECONDS = 11;
    /**
     * Smallest probability at which a failure belongs to an episode; a single failure of a server with recent successes
     * does not reach it.
     */
    private static final double EPISODE_PROBABILITY = 0.85;
    /** Time for which a server is unstable after an episode, in seconds; episodes of a server recur after about 9 s. */
    private static final double UNSTABLE_SECONDS = 30;
    /** Time after a failed answer during which the server is not tested if it had a request lately, in seconds. */
    private static final double TEST_DELAY_SECONDS = 1;
    /** Tolerance for comparisons of probabilities. */
    private static final double TOLERANCE = 1e-6;
    /**
     * Smallest probability at which positive observations are reported to other VMs too; below it they would hardly
     * change the estimates of the other VMs.
     */
    private static final double UNCERTAIN_PROBABILITY = 0.1;

    /** Returns the estimate for a server without observations. */
    public static HealthEstimate initial(long nowNanos) {
        return new HealthEstimate(
                BASE_PROBABILITY, nowNanos, Long.MIN_VALUE, Long.MIN_VALUE, Long.MIN_VALUE, Optional.empty());
    }

    /** Returns the estimate after an observation. */
    public HealthEstimate after(Observation observation, long nowNanos) {
        double before = unhealthyProbabilityAt(nowNanos);
        double odds = before / (1 - before) * observation.likelihoodRatio();
        double after = Math.min(MAX_PROBABILITY, Math.max(MIN_PROBABILITY, odds / (1 + odds)));
        boolean isError = observation.isError();
        return new HealthEstimate(
                after,
                nowNanos,
                observation.isNegative() ? nowNanos : failedNanos,
                isError ? nowNanos : errorNanos,
                isError && after >= EPISODE_PROBABILITY ? nowNanos : episodeNanos,
                observation.isNegative() ? Optional.of(observation) : evidence);
    }

    /** Returns an estimate with a probability that other VMs have determined at this time. */
    HealthEstimate adopting(double probability, long nowNanos) {
        double bounded = Math.min(MAX_PROBABILITY, Math.max(MIN_PROBABILITY, probability));
        boolean isFailing = bounded >= SUSPECTED_PROBABILITY && bounded >= unhealthyProbabilityAt(nowNanos);
        return new HealthEstimate(
                bounded,
                nowNanos,
                isFailing ? nowNanos : failedNanos,
                errorNanos,
                isFailing && bounded >= EPISODE_PROBABILITY ? nowNanos : episodeNanos,
                isFailing ? Optional.empty() : evidence);
    }

    /** Returns the probability at a time; without observations it converges to {@link #BASE_PROBABILITY}. */
    public double unhealthyProbabilityAt(long nowNanos) {
        double seconds = secondsSince(atNanos, nowNanos);
        return BASE_PROBABILITY
                + (unhealthyProbability - BASE_PROBABILITY) * Math.exp(-RELAXATION_PER_SECOND * seconds);
    }

    /** Returns whether a positive observation at a time is reported to other VMs. */
    boolean isUncertain(long nowNanos) {
        return unhealthyProbabilityAt(nowNanos) >= UNCERTAIN_PROBABILITY;
    }

    /** Returns whether the server is suspected at a time. */
    public boolean isSuspected(long nowNanos) {
        return unhealthyProbabilityAt(nowNanos) >= SUSPECTED_PROBABILITY;
    }

    /**
     * Returns whether the server may get a request that tests its health: it is no more likely to be unhealthy than a
     * server without observations, or its last failure is old enough that it may have recovered.
     */
    public boolean allowsTrialRequest(long nowNanos) {
        boolean isOldFailure =
                failedNanos != Long.MIN_VALUE && secondsSince(failedNanos, nowNanos) >= TRIAL_DELAY_SECONDS;
        return isOldFailure || !isAboveBase(nowNanos);
    }

    /** Returns whether the server had a failure episode lately, so that it is likely to have another one soon. */
    public boolean isUnstable(long nowNanos) {
        return episodeNanos != Long.MIN_VALUE && secondsSince(episodeNanos, nowNanos) < UNSTABLE_SECONDS;
    }

    /**
     * Returns whether the success of a request is evidence on the present health. One that was sent before the last
     * failure is not: requests that run when an episode begins still succeed, and would hide it.
     */
    public boolean isCurrent(long sentNanos) {
        return errorNanos == Long.MIN_VALUE || sentNanos - errorNanos > 0;
    }

    /**
     * Returns whether requests that can be retried should show whether the server has recovered, since something speaks
     * against it, be it a failure, a slow answer, a refusal or an estimate of other VMs.
     */
    public boolean needsTest(long nowNanos) {
        return failedNanos == Long.MIN_VALUE ? isAboveBase(nowNanos) : isUncertain(nowNanos);
    }

    /** Returns whether the last failed answer is so recent that a test would most likely fail too. */
    public boolean hasRecentError(long nowNanos) {
        return errorNanos != Long.MIN_VALUE && secondsSince(errorNanos, nowNanos) < TEST_DELAY_SECONDS;
    }

    private boolean isAboveBase(long nowNanos) {
        return unhealthyProbabilityAt(nowNanos) > BASE_PROBABILITY + TOLERANCE;
    }

    private static double secondsSince(long fromNanos, long nowNanos) {
        return Math.max(0, nowNanos - fromNanos) / (double) TimeUnit.SECONDS.toNanos(1);
    }
}
