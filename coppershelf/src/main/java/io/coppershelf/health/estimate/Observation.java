package io.coppershelf.health.estimate;

import java.util.List;
import java.util.Optional;

/**
 * The outcome of one request as evidence on the health of its server, with the probability of the outcome on an
 * unhealthy and on a healthy server.
 */
public enum Observation {
    /** A complete answer that is not a failure. */
    SUCCESS(1, 0.35, 0.98),
    /** A failure that the server caused, or a request that it dropped. */
    FAILURE(2, 0.60, 0.015),
    /** No answer within several times the typical latency. */
    STALL(3, 0.50, 0.02),
    /** An answer that is truncated or violates the protocol. */
    GARBLED(4, 0.20, 0.01),
    /** The server refused the request before running it. */
    SHED(5, 0.40, 0.10);

    private static final List<Observation> VALUES = List.of(values());

    private final int code;
    private final double probabilityIfUnhealthy;
    private final double probabilityIfHealthy;

    Observation(int code, double probabilityIfUnhealthy, double probabilityIfHealthy) {
        this.code = code;
        this.probabilityIfUnhealthy = probabilityIfUnhealthy;
        this.probabilityIfHealthy = probabilityIfHealthy;
    }

    /** Returns the number that encodes this observation in messages. */
    public int code() {
        return code;
    }

    /** Returns the observation with the code, empty if there is none. */
    public static Optional<Observation> ofCode(int code) {
        for (Observation observation : VALUES) {
            if (observation.code == code) {
                return Optional.of(observation);
            }
        }
        return Optional.empty();
    }

    /** Returns the probability of this outcome on an unhealthy server divided by that on a healthy one. */
    double likelihoodRatio() {
        return probabilityIfUnhealthy / probabilityIfHealthy;
    }

    /** Returns whether this outcome raises the probability that the server is unhealthy. */
    public boolean isNegative() {
        return this != SUCCESS;
    }

    /** Returns whether the server answered and the answer is a failure. */
    boolean isError() {
        return this == FAILURE || this == GARBLED;
    }
}
