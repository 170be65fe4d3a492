package io.coppershelf.health.internal;

/** Compares the service times of one server with those of its peers, kind by kind, on a logarithmic scale. */
public final class LatencyComparison {
    /** The slowness against peers that is to be found. */
    private static final double SLOW_LOG_RATIO = Math.log(2.5);
    /** How far the usual time of the peers may itself be off. */
    private static final double USUAL_LOG_ERROR = 0.1;
    /** One answer alone can't say more than this. */
    private static final double SAMPLE_LIMIT_NATS = 4.0;

    private final CumulativeSum sum = new CumulativeSum();

    /** Takes in an answer; returns its log-likelihood ratio, positive if it speaks for slowness. */
    public double record(long nanos, TypicalServiceTime usual, long observedNanos) {
        double ratio = ratio(nanos, usual);
        sum.add(ratio, observedNanos);
        return ratio;
    }

    /** Returns the log-likelihood ratio of an answer in nats, positive if it speaks for slowness. */
    public static double ratio(long nanos, TypicalServiceTime usual) {
        double variance = usual.logDeviation() * usual.logDeviation();
        double ratio = SLOW_LOG_RATIO / variance * (usual.deviation(nanos) - SLOW_LOG_RATIO / 2 - USUAL_LOG_ERROR);
        return Math.max(-SAMPLE_LIMIT_NATS, Math.min(SAMPLE_LIMIT_NATS, ratio));
    }

    /** Lets old evidence fade. */
    public void decay(long observedNanos) {
        sum.decay(observedNanos);
    }

    /** Sets the evidence, for instance to 0 when the server starts anew. */
    public void set(double nats, long observedNanos) {
        sum.set(nats, observedNanos);
    }

    /** Returns the evidence for slowness in nats. */
    public double evidence() {
        return sum.nats();
    }
}
