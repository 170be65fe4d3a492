package io.coppershelf.health.internal;

/** Compares the service times of one server with those of its peers on the same routes, on a logarithmic scale. */
public final class LatencyComparison {
    /** The slowdown against peers that is to be detected. */
    private static final double SLOW_LOG_RATIO = Math.log(2.5);
    /** The error that the typical time of the peers may itself have. */
    private static final double TYPICAL_LOG_ERROR = 0.1;
    /** The most evidence that a single answer can contribute. */
    private static final double MAX_SAMPLE_NATS = 4.0;

    private final CumulativeSum sum = new CumulativeSum();

    /** Records an answer; returns its log-likelihood ratio, positive if it is evidence for slowness. */
    public double record(long nanos, TypicalServiceTime typical, long observedNanos) {
        double ratio = ratio(nanos, typical);
        sum.add(ratio, observedNanos);
        return ratio;
    }

    /** Returns the log-likelihood ratio of an answer in nats, positive if it is evidence for slowness. */
    public static double ratio(long nanos, TypicalServiceTime typical) {
        double variance = typical.logDeviation() * typical.logDeviation();
        double ratio = SLOW_LOG_RATIO / variance * (typical.deviation(nanos) - SLOW_LOG_RATIO / 2 - TYPICAL_LOG_ERROR);
        return Math.max(-MAX_SAMPLE_NATS, Math.min(MAX_SAMPLE_NATS, ratio));
    }

    /** Lets old evidence decay. */
    public void decay(long observedNanos) {
        sum.decay(observedNanos);
    }

    /** Sets the evidence, for example to 0 when the server restarts. */
    public void set(double nats, long observedNanos) {
        sum.set(nats, observedNanos);
    }

    /** Returns the evidence for slowness in nats. */
    public double evidence() {
        return sum.nats();
    }
}
