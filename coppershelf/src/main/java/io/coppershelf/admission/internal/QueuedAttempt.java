package io.coppershelf.admission.internal;

import io.coppershelf.admission.GroupEvent.AttemptArrived;

/**
 * An attempt that is queued for a slot.
 *
 * @param arrival the attempt as it arrived
 * @param expectedNanos its expected service time
 */
public record QueuedAttempt(AttemptArrived arrival, long expectedNanos) {
    /** Returns the id of the attempt. */
    public String attemptId() {
        return arrival.attemptId();
    }

    /** Returns the time left until the deadline, negative after it. */
    public long slackNanos(long nowNanos) {
        return arrival.deadlineNanos() - nowNanos;
    }
}
