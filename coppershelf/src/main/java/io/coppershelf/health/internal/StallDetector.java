package io.coppershelf.health.internal;

import java.util.Collection;
import java.util.Optional;

/**
 * Finds a stall before any answer is late: each try in flight gives the probability that it would run for so long, and
 * the probabilities are combined by Fisher's method.
 *
 * @see <a href="https://doi.org/10.1007/978-1-4612-4380-9_6">Fisher, Statistical Methods for Research Workers, 1925,
 *     section 21.1: combination of probabilities</a>
 */
public final class StallDetector {
    /** One try alone can't say more than this. */
    private static final double TRY_LIMIT_NATS = 13.0;
    /** An answer of the same kind to a later try speaks against a stall of the server. */
    private static final double OVERTAKEN_NATS = 2.0;

    private StallDetector() {}

    /**
     * Returns the evidence for a stall in nats.
     *
     * @param inFlight the tries in flight on the server
     * @param usualTimes the usual times of their kinds
     * @param slowness the factor by which the server may be slower, 1 unless it is cold
     * @param observedNanos the observed time
     */
    public static double evidence(
            Collection<MonitoredAttempt> inFlight,
            TypicalServiceTimes usualTimes,
            double slowness,
            long observedNanos) {
        double sum = 0;
        int count = 0;
        for (MonitoredAttempt watched : inFlight) {
            Optional<TypicalServiceTime> usual = usualTimes.typical(watched.route());
            if (usual.isPresent() && !watched.isIgnored()) {
                sum += surprisal(watched, usual.get().slowedBy(slowness), observedNanos);
                count++;
            }
        }
        return combineByFisher(sum, count);
    }

    /** Returns how surprising it is that the try has run for so long, in nats, up to what one try can say. */
    public static double surprisal(MonitoredAttempt watched, TypicalServiceTime usual, long observedNanos) {
        double surprise = Math.min(TRY_LIMIT_NATS, usual.surprisal(watched.ageNanos(observedNanos)));
        return Math.max(0, surprise - OVERTAKEN_NATS * watched.overtakenCount());
    }

    /** Returns the negative logarithm of the upper tail of a gamma distribution with an integer shape. */
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
