package io.coppershelf.belief;

import java.util.concurrent.TimeUnit;

/**
 * The probability that a server is sick, by a hidden Markov model with two states: well servers turn sick and sick ones
 * recover at constant rates, and each observation weighs by its likelihood in either state. Immutable.
 *
 * @param sickness the probability at the time of the last observation, between 0 and 1
 * @param atNanos the monotonic time of the last observation
 * @param badObservations how many bad observations were counted
 */
public record ServerBelief(double sickness, long atNanos, int badObservations) {
    /** Mean time that a server stays sick, in seconds; gray failures of the workloads last several seconds. */
    static final double MEAN_SICK_SECONDS = 10;
    /** Mean time that a server stays well, in seconds; at any time up to a quarter of the servers fail grayly. */
    static final double MEAN_WELL_SECONDS = 30;
    /** The share of the time that a server is sick, which is believed of a server without observations. */
    public static final double BASE_SICKNESS = MEAN_SICK_SECONDS / (MEAN_SICK_SECONDS + MEAN_WELL_SECONDS);

    private static final double RELAXATION_PER_SECOND = 1 / MEAN_SICK_SECONDS + 1 / MEAN_WELL_SECONDS;
    /** Bounds of the probability, so that a few contrary observations always suffice to change the verdict. */
    private static final double LOWEST = 0.002;

    private static final double HIGHEST = 0.995;
    /** From this probability on, a server counts as suspected in logs. */
    private static final double SUSPECT = 0.4;
    /** From this probability on, peers hear of good observations too; below it they would learn little from one. */
    private static final double UNCERTAIN = 0.1;

    /** Returns the belief in a server without observations. */
    public static ServerBelief initial(long nowNanos) {
        return new ServerBelief(BASE_SICKNESS, nowNanos, 0);
    }

    /** Returns the belief after an observation. */
    public ServerBelief after(Observation observation, long nowNanos) {
        double before = sicknessAt(nowNanos);
        double odds = before / (1 - before) * observation.likelihoodRatio();
        double after = Math.min(HIGHEST, Math.max(LOWEST, odds / (1 + odds)));
        return new ServerBelief(after, nowNanos, badObservations + (observation.isBad() ? 1 : 0));
    }

    /** Returns the probability at a time; without observations it returns to the base. */
    public double sicknessAt(long nowNanos) {
        double seconds = Math.max(0, nowNanos - atNanos) / (double) TimeUnit.SECONDS.toNanos(1);
        return BASE_SICKNESS + (sickness - BASE_SICKNESS) * Math.exp(-RELAXATION_PER_SECOND * seconds);
    }

    /** Returns whether a good observation is worth telling others at a time. */
    boolean isUncertain(long nowNanos) {
        return sicknessAt(nowNanos) >= UNCERTAIN;
    }

    /** Returns whether the server is suspected at a time. */
    public boolean isSuspect(long nowNanos) {
        return sicknessAt(nowNanos) >= SUSPECT;
    }
}
