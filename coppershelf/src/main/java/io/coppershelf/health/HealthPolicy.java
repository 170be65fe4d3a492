package io.coppershelf.health;

/**
 * The evidence thresholds at which the servers of a service are suspected and ejected.
 *
 * @param suspicionNats the evidence in nats at which a server is suspected and selected last
 * @param ejectionNats the evidence in nats at which the grant to eject it is requested
 * @param probationAnswers the number of answers at normal speed that end a probation
 * @param historyFactor the factor on both thresholds for a server that was ejected recently, 1 for equal treatment
 */
public record HealthPolicy(double suspicionNats, double ejectionNats, int probationAnswers, double historyFactor) {
    private static final double SUSPICION_NATS = 9.0;
    private static final double MAX_SUSPICION_REDUCTION_NATS = 3.0;
    private static final double EJECTION_NATS = 24.0;
    private static final double MAX_EJECTION_REDUCTION_NATS = 10.0;
    private static final int PROBATION_ANSWERS = 10;

    /**
     * Returns the policy of a service.
     *
     * @param detectionWeight the weight of fast detection against false ejections, from 0 (avoid false ejections) to 1
     *     (detect soon)
     */
    public static HealthPolicy forDetectionWeight(double detectionWeight) {
        double weight = Math.max(0, Math.min(1, detectionWeight));
        return new HealthPolicy(
                SUSPICION_NATS - MAX_SUSPICION_REDUCTION_NATS * weight,
                EJECTION_NATS - MAX_EJECTION_REDUCTION_NATS * weight,
                PROBATION_ANSWERS,
                1.0);
    }

    /** Returns the policy with another factor on the thresholds of servers that were ejected recently. */
    public HealthPolicy withHistoryFactor(double factor) {
        return new HealthPolicy(suspicionNats, ejectionNats, probationAnswers, factor);
    }
}
