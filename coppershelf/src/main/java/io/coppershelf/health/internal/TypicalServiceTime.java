package io.coppershelf.health.internal;

/**
 * The typical service time of a route, as a distribution of its logarithm.
 *
 * @param logMean the mean of the natural logarithm of nanoseconds
 * @param logDeviation the standard deviation of that logarithm
 */
public record TypicalServiceTime(double logMean, double logDeviation) {
    /** The standard deviation of the standard logistic distribution. */
    private static final double LOGISTIC_DEVIATION = Math.PI / Math.sqrt(3);

    /**
     * Shorter times count as equal to this one: the scheduling delay of this process under load is as long, and an
     * answer within it does no harm to a caller.
     */
    private static final double RESOLUTION_NANOS = 25e6;

    private static final double LOG_RESOLUTION = Math.log(RESOLUTION_NANOS);

    /** Returns how far a service time is above the typical one, as a difference of logarithms. */
    public double deviation(long nanos) {
        return Math.log(Math.max(RESOLUTION_NANOS, (double) nanos)) - Math.max(LOG_RESOLUTION, logMean);
    }

    /**
     * Returns the surprisal of an attempt's age in nats: the negative logarithm of the probability that it runs for so
     * long. Service times are modelled as log-logistic, whose tail is heavier than that of a log-normal distribution.
     */
    public double surprisal(long ageNanos) {
        return Math.log1p(Math.exp(deviation(ageNanos) / logDeviation * LOGISTIC_DEVIATION));
    }

    /** Returns the typical time of a server that is slower than the others by the given factor. */
    public TypicalServiceTime slowedBy(double factor) {
        return new TypicalServiceTime(logMean + Math.log(factor), logDeviation);
    }
}
