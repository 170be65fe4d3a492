package io.coppershelf.overload;

import java.util.concurrent.TimeUnit;

/**
 * The requests at the servers of a service for each of their slots, running and queued. It comes from the counts that
 * all VMs share. A VM that misses the counts of others sees far less than the servers state in their answers, and then
 * uses these. Not thread-safe.
 */
final class FillEstimate {
    /** Difference above which counts of other VMs are missing; counts are late by less than this share of the slots. */
    private static final double MISSING_FILL = 0.4;
    /** Time constant of the average over answers; a VM gets one to ten answers of a service in a second. */
    private static final double AVERAGE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    /** Least weight of an answer; the load of a single server says little about the service. */
    private static final double MIN_WEIGHT = 0.12;
    /** Largest weight of an answer, so that several agree before counts of other VMs are held to be missing. */
    private static final double MAX_WEIGHT = 0.25;
    /** Age from which the average decays, so that a VM that gets no answers sends requests and learns. */
    private static final long DECAY_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    private double answered;
    private long answeredAtNanos;
    private boolean hasAnswers;

    /** Records the load that a server states in an answer. */
    void recordAnswer(int load, int slots, long nowNanos) {
        double fill = (double) load / Math.max(1, slots);
        double elapsed = hasAnswers ? nowNanos - answeredAtNanos : 0;
        double weight = 1 - Math.exp(-elapsed / AVERAGE_NANOS);
        answered += Math.max(MIN_WEIGHT, Math.min(MAX_WEIGHT, weight)) * (fill - answered);
        answeredAtNanos = nowNanos;
        hasAnswers = true;
    }

    /** Returns the fill, given that of the shared counts. */
    double fill(double shared, long nowNanos) {
        return isViewIncomplete(shared, nowNanos) ? answered(nowNanos) : shared;
    }

    /** Returns whether the shared counts lack those of many VMs. */
    boolean isViewIncomplete(double shared, long nowNanos) {
        return answered(nowNanos) > shared + MISSING_FILL;
    }

    /** Returns the age of the last answer, in nanoseconds; 0 if there is none. */
    long ageNanos(long nowNanos) {
        return hasAnswers ? nowNanos - answeredAtNanos : 0;
    }

    private double answered(long nowNanos) {
        if (!hasAnswers) {
            return 0;
        }
        double overdue = Math.max(0, nowNanos - answeredAtNanos - DECAY_AFTER_NANOS);
        return answered * Math.exp(-overdue / DECAY_AFTER_NANOS);
    }
}
