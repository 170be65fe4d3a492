package io.coppershelf.dispatch;

import java.time.Duration;

/**
 * The typical latency of successful answers of a service to one kind of requests, as moving averages of the latency and
 * of its deviation. Not thread-safe.
 */
public final class TypicalLatency {
    /** Weight of a new sample; the averages cover about the last sixteen samples. */
    private static final double SAMPLE_WEIGHT = 1.0 / 16;
    /** Samples before the averages are used; until then the threshold derives from the objective of the route. */
    private static final int WARM_UP_SAMPLES = 6;
    /** Deviations above the mean that few answers of healthy servers exceed. */
    private static final double SLOW_DEVIATIONS = 4;
    /** Bounds of the threshold for slow answers, as shares of the objective. */
    private static final double MIN_SLOW_SHARE = 0.4;

    private static final double MAX_SLOW_SHARE = 0.9;
    /** Multiple of the threshold for slow answers after which the server counts as stalled. */
    private static final double STALL_FACTOR = 1.6;

    private double meanNanos;
    private double deviationNanos;
    private int samples;

    /** Records the latency of a successful answer. */
    public void add(long nanos) {
        samples++;
        double weight = Math.max(SAMPLE_WEIGHT, 1.0 / samples);
        double difference = nanos - meanNanos;
        meanNanos += weight * difference;
        deviationNanos += weight * (Math.abs(difference) - deviationNanos);
    }

    /** Returns the typical latency; until it is known, the given one. */
    public long typicalNanos(Duration otherwise) {
        return samples < WARM_UP_SAMPLES ? otherwise.toNanos() : (long) meanNanos;
    }

    /** Returns the latency that few answers of healthy servers exceed; 0 until it is known. */
    public long likelyNanos() {
        return samples < WARM_UP_SAMPLES ? 0 : (long) upperNanos();
    }

    /** Returns the time after which an answer is slow for the route. */
    public long slowNanos(Duration objective) {
        double minNanos = MIN_SLOW_SHARE * objective.toNanos();
        double maxNanos = MAX_SLOW_SHARE * objective.toNanos();
        if (samples < WARM_UP_SAMPLES) {
            return (long) ((minNanos + maxNanos) / 2);
        }
        return (long) Math.min(maxNanos, Math.max(minNanos, upperNanos()));
    }

    private double upperNanos() {
        return meanNanos + SLOW_DEVIATIONS * deviationNanos;
    }

    /** Returns the time after which the server counts as stalled. */
    public long stallNanos(Duration objective) {
        return (long) (STALL_FACTOR * slowNanos(objective));
    }
}
