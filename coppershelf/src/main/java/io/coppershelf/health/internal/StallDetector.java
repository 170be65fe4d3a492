package io.coppershelf.health.internal;

import java.util.Collection;
import java.util.Optional;

/**
 * Detects a stall before any answer is overdue: each attempt in flight gives the probability that it would run for so
 * long, and the probabilities are combined by Fisher's method.
 *
 * @see <a href="https://doi.org/10.1007/978-1-4612-4380-9_6">Fisher, Statistical Methods for Research Workers, 1925,
 *     section 21.1: combination of probabilities</a>
 */
public final class StallDetector {
    /** The most evidence that a single attempt can contribute. */
    private static final double MAX_ATTEMPT_NATS = 13.0;
    /**
     * Evidence subtracted for each answer on the same route to a later attempt: such an answer is evidence against a
     * stall.
     */
    private static final double OVERTAKEN_NATS = 2.0;

    private StallDetector() {}

    /**
     * Returns the evidence for a stall in nats.
     *
     * @param inFlight the attempts in flight on the server
     * @param typicalTimes the typical service times of their routes
     * @param slowness the factor by which the server may be slower, 1 unless it is cold
     * @param observedNanos the observed time
     */
    public static double evidence(
            Collection<MonitoredAttempt> inFlight,
            TypicalServiceTimes typicalTimes,
            double slowness,
            long observedNanos) {
        double sum = 0;
        int count = 0;
        for (MonitoredAttempt attempt : inFlight) {
            Optional<TypicalServiceTime> typical = typicalTimes.typical(attempt.route());
            if (typical.isPresent() && !attempt.isIgnored()) {
                sum += surprisal(attempt, typical.get().slowedBy(slowness), observedNanos);
                count++;
            }
        }
        return combineByFisher(sum, count);
    }

    /** Returns the surprisal of the attempt's age in nats, limited to what a single attempt can contribute. */
    public static double surprisal(MonitoredAttempt attempt, TypicalServiceTime typical, long observedNanos) {
        double surprisal = Math.min(MAX_ATTEMPT_NATS, typical.surprisal(attempt.ageNanos(observedNanos)));
        return Math.max(0, surprisal - OVERTAKEN_NATS * attempt.overtakenCount());
    }

    /**
     * Combines surprisals by Fisher's method: returns the negative logarithm of the upper tail of a gamma distribution
     * with an integer shape.
     */
    static double combineByFisher(double sum, int count) {
        double term = 1;
        double series = 0;
        for (int k = 0; k < count; k++) {
            series += term;
            term *= sum / (k + 1);
        }
        return count == 0 ? 0 : sum - Math.log(series);
    }
}
