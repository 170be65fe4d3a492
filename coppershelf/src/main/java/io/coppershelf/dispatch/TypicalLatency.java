package io.coppershelf.dispatch;

import java.time.Duration;

/**
 * The usual time of successful answers of a route, as moving averages of the time and of its deviation. Not safe for
 * several threads.
 */
public final class TypicalLatency {
    /** Weight of a new sample; averages over about the last sixteen. */
    private static final double SAMPLE_WEIGHT = 1.0 / 16;
    /** Samples before the averages count; until then the objective of the route stands in. */
    private static final int WARM_UP_SAMPLES = 6;
    /** Deviations above the mean that few healthy answers exceed. */
    private static final double SLOW_DEVIATIONS = 4;
    /** Shares of the objective between which the threshold for slow answers stays. */
    private static final double LOWEST_SLOW_SHARE = 0.4;

    private static final double HIGHEST_SLOW_SHARE = 0.9;
    /** How many times the slow threshold a request takes before the server counts as stalled. */
    private static final double STALL_FACTOR = 1.6;

    private double meanNanos;
    private double deviationNanos;
    private int samples;

    /** Counts the time of a successful answer. */
    public void add(long nanos) {
        samples++;
        double weight = Math.max(SAMPLE_WEIGHT, 1.0 / samples);
        double difference = nanos - meanNanos;
        meanNanos += weight * difference;
        deviationNanos += weight * (Math.abs(difference) - deviationNanos);
    }

    /** Returns the time after which an answer is slow for the route. */
    public long slowNanos(Duration objective) {
        double lowest = LOWEST_SLOW_SHARE * objective.toNanos();
        double highest = HIGHEST_SLOW_SHARE * objective.toNanos();
        if (samples < WARM_UP_SAMPLES) {
            return (long) ((lowest + highest) / 2);
        }
        return (long) Math.min(highest, Math.max(lowest, meanNanos + SLOW_DEVIATIONS * deviationNanos));
    }

    /** Returns the time after which the server counts as stalled. */
    public long stallNanos(Duration objective) {
        return (long) (STALL_FACTOR * slowNanos(objective));
    }
}
