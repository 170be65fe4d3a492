package io.coppershelf.admission.internal;

import io.coppershelf.admission.GroupEvent.RequestArrived;

/** Decides at arrival whether a request can be answered in time, the least weighted kinds being refused first. */
public final class AdmissionControl {
    /** The multiple of the mean service time that is kept for the service itself. */
    static final int SERVICE_MARGIN = 2;
    /** The share of its time that a request may spend waiting. */
    static final double WAIT_SHARE = 0.75;

    private final DeadlineQueue queue;
    private final MeanServiceTimes serviceTimes;
    private final WeightedBacklogLimit weightShares = new WeightedBacklogLimit();

    /** Returns the admission to the given queue. */
    public AdmissionControl(DeadlineQueue queue, MeanServiceTimes serviceTimes) {
        this.queue = queue;
        this.serviceTimes = serviceTimes;
    }

    /** Returns whether the request can be answered in time, and so may wait. */
    public boolean admits(RequestArrived request, WaitEstimate estimate, long nowNanos) {
        weightShares.recordArrival(request.weight(), request.deadlineNanos() - nowNanos, nowNanos);
        if (estimate.slots() == 0) {
            return false;
        }
        int place = queue.insertionIndex(request.deadlineNanos());
        long wait = estimate.waitNanos(queue, place);
        long own = serviceTimes.meanNanos(request.route());
        long backlog = estimate.waitNanos(queue, queue.size());
        return (double) backlog <= weightShares.backlogLimitNanos(request.weight())
                && fits(request, wait, own, nowNanos)
                && estimate.keepsLaterDeadlines(queue, place, own, nowNanos);
    }

    private boolean fits(RequestArrived request, long wait, long own, long nowNanos) {
        long slack = request.deadlineNanos() - nowNanos;
        if (wait == 0) {
            return own <= slack;
        }
        return (double) wait <= WAIT_SHARE * (double) (slack - SERVICE_MARGIN * own);
    }
}
