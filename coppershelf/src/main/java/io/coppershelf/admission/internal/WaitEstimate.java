package io.coppershelf.admission.internal;

import java.util.List;

/**
 * How long a try would wait, from the measured service times of what runs and of what waits before it.
 *
 * @param slots the slots that work through the queue
 * @param free the free ones among them
 * @param residualNanos the expected work left in those that are taken, summed
 */
public record WaitEstimate(int slots, int free, long residualNanos) {
    /** The share of its time that a waiting try may be pushed back to. */
    private static final double ROOM_SHARE = 0.85;

    /** Returns the expected wait at the given place in the queue. */
    public long waitNanos(DeadlineQueue queue, int place) {
        if (slots == 0 || place < free) {
            return 0;
        }
        return (residualNanos + queue.workNanos(place)) / slots;
    }

    /** Returns whether a try of the given service time can go to the place without making a later one miss its time. */
    public boolean keepsLaterDeadlines(DeadlineQueue queue, int place, long addedNanos, long nowNanos) {
        if (slots == 0 || place < free) {
            return true;
        }
        long ahead = residualNanos + addedNanos + queue.workNanos(place);
        List<QueuedAttempt> tries = queue.attempts();
        for (QueuedAttempt later : tries.subList(place, tries.size())) {
            if ((double) (ahead / slots + AdmissionControl.SERVICE_MARGIN * later.expectedNanos())
                    > ROOM_SHARE * (double) later.slackNanos(nowNanos)) {
                return false;
            }
            ahead += later.expectedNanos();
        }
        return true;
    }
}
