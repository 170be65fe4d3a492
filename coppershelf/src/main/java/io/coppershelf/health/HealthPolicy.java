package io.coppershelf.health;

/**
 * The limits of evidence at which a service's servers are suspected and ejected.
 *
 * @param suspicionNats the evidence at which a server is chosen last
 * @param ejectionNats the evidence at which the right to eject it is asked for
 * @param probationAnswers the good answers in a row that end a probation
 * @param historyFactor the factor on both limits for a server that was ejected not long ago, 1 to treat all alike
 */
public record HealthPolicy(double suspicionNats, double ejectionNats, int probationAnswers, double historyFactor) {
    private static final double SUSPICION_NATS = 9.0;
    private static final double SUSPICION_NATS_SAVED = 3.0;
    private static final double EJECTION_NATS = 24.0;
    private static final double EJECTION_NATS_SAVED = 10.0;
    private static final int PROBATION_ANSWERS = 10;

    /**
     * Returns the policy of a service.
     *
     * @param detectionWeight how detection time weighs against false ejections, from 0 (avoid false ejections) to 1
     *     (detect soon)
     */
    public static HealthPolicy forDetectionWeight(double detectionWeight) {
        double weight = Math.max(0, Math.min(1, detectionWeight));
        return new HealthPolicy(
                SUSPICION_NATS - SUSPICION_NATS_SAVED * weight,
                EJECTION_NATS - EJECTION_NATS_SAVED * weight,
                PROBATION_ANSWERS,
                1.0);
    }

    /** Returns the policy with another factor on the limits of servers that were ejected not long ago. */
    public HealthPolicy withHistoryFactor(double factor) {
        return new HealthPolicy(suspicionNats, ejectionNats, probationAnswers, factor);
    }
}
