package io.coppershelf.health.internal;

/** An exponentially weighted moving average of logarithms; a plain average over the first samples. */
final class LogAverage {
    private static final double SAMPLE_WEIGHT = 0.02;

    private double mean;
    private int samples;

    void record(double value) {
        samples++;
        mean += Math.max(SAMPLE_WEIGHT, 1.0 / samples) * (value - mean);
    }

    double mean() {
        return mean;
    }

    int samples() {
        return samples;
    }
}
