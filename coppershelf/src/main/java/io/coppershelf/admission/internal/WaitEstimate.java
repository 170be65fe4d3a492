package io.coppershelf.admission.internal;

import java.util.List;

/**
 * Estimates how long an attempt would wait, from the mean service times of the attempts that run and of those queued
 * before it.
 *
 * @param slots the slots that serve the queue
 * @param free the free ones among them
 * @param residualNanos the sum of the expected remaining times of the attempts that run
 */
public record WaitEstimate(int slots, int free, long residualNanos) {
    /**
     * The share of its time until the deadline within which a queued attempt must still be served when another one is
     * added before it.
     */
    private static final double MAX_DEADLINE_SHARE = 0.85;

    /** Returns the expected wait at the given index of the queue. */
    public long waitNanos(DeadlineQueue queue, int index) {
        if (slots == 0 || index < free) {
            return 0;
        }
        return (residualNanos + queue.workNanos(index)) / slots;
    }

    /**
     * Returns whether an attempt of the given service time can be added at the index without making a later one miss
     * its deadline.
     */
    public boolean keepsLaterDeadlines(DeadlineQueue queue, int index, long addedNanos, long nowNanos) {
        if (slots == 0 || index < free) {
            return true;
        }
        long ahead = residualNanos + addedNanos + queue.workNanos(index);
        List<QueuedAttempt> attempts = queue.attempts();
        for (QueuedAttempt later : attempts.subList(index, attempts.size())) {
            if ((double) (ahead / slots + AdmissionControl.SERVICE_MARGIN_FACTOR * later.expectedNanos())
                    > MAX_DEADLINE_SHARE * (double) later.slackNanos(nowNanos)) {
                return false;
            }
            ahead += later.expectedNanos();
        }
        return true;
    }
}
