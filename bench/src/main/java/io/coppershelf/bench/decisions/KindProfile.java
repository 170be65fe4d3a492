package io.coppershelf.bench.decisions;

import java.util.random.RandomGenerator;

/**
 * A request kind of a simulated service. Service times have a log-normal distribution.
 *
 * @param name the name of the route
 * @param idempotent whether requests of this kind may be repeated
 * @param weight the weight of a request
 * @param share the share of the arrivals that are of this kind
 * @param medianNanos the median service time
 * @param deadlineNanos the time from arrival to the deadline
 */
record KindProfile(String name, boolean idempotent, int weight, double share, long medianNanos, long deadlineNanos) {
    /** The standard deviation of the logarithm of service times. */
    private static final double LOG_DEVIATION = 0.5;

    /** Returns a request kind; {@code median} and {@code deadline} are in milliseconds. */
    static KindProfile of(String name, boolean idempotent, int weight, double share, long median, long deadline) {
        return new KindProfile(name, idempotent, weight, share, median * Units.MILLIS, deadline * Units.MILLIS);
    }

    /** Returns the mean service time in nanoseconds. */
    double meanNanos() {
        return (double) medianNanos * Math.exp(LOG_DEVIATION * LOG_DEVIATION / 2);
    }

    /** Returns a random service time in nanoseconds. */
    long drawNanos(RandomGenerator random) {
        return (long) ((double) medianNanos * Math.exp(LOG_DEVIATION * random.nextGaussian()));
    }
}
