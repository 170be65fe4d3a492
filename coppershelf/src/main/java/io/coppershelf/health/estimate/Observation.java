package io.coppershelf.health.estimate;

import java.util.Arrays;
import java.util.Optional;

/** What the outcome of one request says about the server, as probabilities under both hypotheses. */
public enum Observation {
    /** A whole answer that is no failure. */
    SUCCESS(1, 0.35, 0.98),
    /** A failure that the server caused, or a request that it dropped. */
    FAILURE(2, 0.60, 0.015),
    /** No answer for several times the usual time. */
    STALL(3, 0.50, 0.02),
    /** An answer that is cut off or not part of the protocol. */
    GARBLED(4, 0.20, 0.01),
    /** Refused before it ran. */
    SHED(5, 0.40, 0.10);

    private final int code;
    private final double whenSick;
    private final double whenWell;

    Observation(int code, double whenSick, double whenWell) {
        this.code = code;
        this.whenSick = whenSick;
        this.whenWell = whenWell;
    }

    /** Returns the number that stands for it in messages. */
    public int code() {
        return code;
    }

    /** Returns the observation for a number, empty if there is none. */
    public static Optional<Observation> ofCode(int code) {
        return Arrays.stream(values())
                .filter(observation -> observation.code == code)
                .findFirst();
    }

    /** Returns how much more likely a sick server causes this than a well one. */
    double likelihoodRatio() {
        return whenSick / whenWell;
    }

    /** Returns whether the observation speaks for a sick server. */
    public boolean isNegative() {
        return this != SUCCESS;
    }
}
