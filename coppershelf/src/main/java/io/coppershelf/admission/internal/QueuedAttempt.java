package io.coppershelf.admission.internal;

import io.coppershelf.admission.GroupEvent.RequestArrived;

/**
 * An attempt that is queued for a slot.
 *
 * @param request the request as it arrived
 * @param expectedNanos its expected service time
 */
public record QueuedAttempt(RequestArrived request, long expectedNanos) {
    /** Returns the id of the attempt. */
    public String attemptId() {
        return request.attemptId();
    }

    /** Returns the time left until the deadline, negative after it. */
    public long slackNanos(long nowNanos) {
        return request.deadlineNanos() - nowNanos;
    }
}
