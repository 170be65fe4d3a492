package io.coppershelf.health.internal;

import java.time.Duration;

/**
 * A one-sided cumulative sum of log-likelihood ratios in nats: it grows while samples are evidence for an unhealthy
 * server and falls to no less than 0 while they are evidence for a healthy one. Without samples it decays.
 *
 * @see <a href="https://doi.org/10.1093/biomet/41.1-2.100">Page, Continuous Inspection Schemes, 1954</a>
 */
final class CumulativeSum {
    /** The upper bound of the sum, so that a recovery is detected soon. */
    private static final double MAX_NATS = 40.0;

    private static final double HALF_LIFE_NANOS =
            (double) Duration.ofSeconds(30).toNanos();

    private double nats;
    private long decayedNanos;

    void add(double logLikelihoodRatio, long observedNanos) {
        decay(observedNanos);
        nats = Math.max(0, Math.min(MAX_NATS, nats + logLikelihoodRatio));
    }

    void decay(long observedNanos) {
        nats *= Math.pow(0.5, (double) (observedNanos - decayedNanos) / HALF_LIFE_NANOS);
        decayedNanos = observedNanos;
    }

    void set(double value, long observedNanos) {
        nats = value;
        decayedNanos = observedNanos;
    }

    double nats() {
        return nats;
    }
}
