package io.coppershelf.routing.internal;

import java.util.OptionalLong;

/**
 * Estimates the 95th percentile of the latency of one route in constant space, by stochastic approximation. Not
 * thread-safe.
 *
 * @see <a href="https://doi.org/10.1214/aoms/1177729586">Robbins and Monro, A Stochastic Approximation Method, 1951</a>
 */
final class LatencyPercentile {
    private static final double QUANTILE = 0.95;
    private static final double STEP = 0.1;
    private static final int MIN_SAMPLES = 20;

    private double estimateNanos;
    private int samples;

    /** Records the latency of one answered request. */
    void record(long latencyNanos) {
        if (samples == 0) {
            estimateNanos = 2.0 * latencyNanos;
        }
        samples = Math.min(MIN_SAMPLES, samples + 1);
        double step = STEP * Math.max(1, estimateNanos);
        estimateNanos += latencyNanos > estimateNanos ? step * QUANTILE : -step * (1 - QUANTILE);
    }

    /** Returns the 95th percentile in nanoseconds, empty until there are enough samples. */
    OptionalLong estimateNanos() {
        return samples < MIN_SAMPLES ? OptionalLong.empty() : OptionalLong.of((long) estimateNanos);
    }
}
