package io.coppershelf.admission.internal;

import io.coppershelf.admission.GroupEvent.AttemptArrived;

/** Decides at arrival whether a request can be answered in time; requests with the lowest weight are refused first. */
public final class AdmissionControl {
    /** The multiple of the mean service time that is reserved for the service itself. */
    static final int SERVICE_MARGIN_FACTOR = 2;
    /** The share of the time until its deadline that a request may spend in the queue. */
    static final double MAX_WAIT_SHARE = 0.75;

    private final DeadlineQueue queue;
    private final MeanServiceTimes serviceTimes;
    private final WeightedBacklogLimit backlogLimit = new WeightedBacklogLimit();

    /** Creates the admission control of the given queue. */
    public AdmissionControl(DeadlineQueue queue, MeanServiceTimes serviceTimes) {
        this.queue = queue;
        this.serviceTimes = serviceTimes;
    }

    /** Returns whether the request can be answered in time and is admitted to the queue. */
    public boolean admits(AttemptArrived attempt, WaitEstimate estimate, long nowNanos) {
        backlogLimit.recordArrival(attempt.weight(), attempt.deadlineNanos() - nowNanos, nowNanos);
        if (estimate.slots() == 0) {
            return false;
        }
        int index = queue.insertionIndex(attempt.deadlineNanos());
        long wait = estimate.waitNanos(queue, index);
        long serviceTime = serviceTimes.meanNanos(attempt.route());
        long backlog = estimate.waitNanos(queue, queue.size());
        return (double) backlog <= backlogLimit.backlogLimitNanos(attempt.weight())
                && fitsDeadline(attempt, wait, serviceTime, nowNanos)
                && estimate.keepsLaterDeadlines(queue, index, serviceTime, nowNanos);
    }

    private boolean fitsDeadline(AttemptArrived attempt, long wait, long serviceTime, long nowNanos) {
        long slack = attempt.deadlineNanos() - nowNanos;
        if (wait == 0) {
            return serviceTime <= slack;
        }
        return (double) wait <= MAX_WAIT_SHARE * (double) (slack - SERVICE_MARGIN_FACTOR * serviceTime);
    }
}
