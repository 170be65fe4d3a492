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
    /** Returns the expected wait at the given place in the queue. */
    public long waitNanos(DeadlineQueue queue, int place, ServiceTimes serviceTimes) {
        if (slots == 0 || place < free) {
            return 0;
        }
        return (residualNanos + workNanos(queue.tries().subList(0, place), serviceTimes)) / slots;
    }

    /** Returns whether a try of the given service time can go to the place without making a later one miss its time. */
    public boolean leavesRoom(
            DeadlineQueue queue, int place, long addedNanos, ServiceTimes serviceTimes, long nowNanos) {
        if (slots == 0 || place < free) {
            return true;
        }
        long ahead = residualNanos + addedNanos;
        List<WaitingTry> tries = queue.tries();
        for (int index = 0; index < tries.size(); index++) {
            long own = serviceTimes.meanNanos(tries.get(index).request().route());
            if (index >= place && ahead / slots + own > tries.get(index).slackNanos(nowNanos)) {
                return false;
            }
            ahead += own;
        }
        return true;
    }

    private static long workNanos(List<WaitingTry> tries, ServiceTimes serviceTimes) {
        long work = 0;
        for (WaitingTry waiting : tries) {
            work += serviceTimes.meanNanos(waiting.request().route());
        }
        return work;
    }
}
