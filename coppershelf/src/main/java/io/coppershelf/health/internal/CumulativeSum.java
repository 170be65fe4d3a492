package io.coppershelf.health.internal;

import java.time.Duration;

/**
 * A one-sided cumulative sum of log-likelihood ratios in nats: it grows while samples speak for sickness and falls to
 * no less than 0 while they speak for health. Without samples it fades.
 *
 * @see <a href="https://doi.org/10.1093/biomet/41.1-2.100">Page, Continuous Inspection Schemes, 1954</a>
 */
final class CumulativeSum {
    /** Beyond this the sum does not grow, so that recovery shows soon. */
    private static final double LARGEST_NATS = 40.0;

    private static final double FADE_HALF_LIFE_NANOS =
            (double) Duration.ofSeconds(30).toNanos();

    private double nats;
    private long fadedNanos;

    void add(double logLikelihoodRatio, long observedNanos) {
        decay(observedNanos);
        nats = Math.max(0, Math.min(LARGEST_NATS, nats + logLikelihoodRatio));
    }

    void decay(long observedNanos) {
        nats *= Math.pow(0.5, (double) (observedNanos - fadedNanos) / FADE_HALF_LIFE_NANOS);
        fadedNanos = observedNanos;
    }

    void set(double value, long observedNanos) {
        nats = value;
        fadedNanos = observedNanos;
    }

    double nats() {
        return nats;
    }
}
