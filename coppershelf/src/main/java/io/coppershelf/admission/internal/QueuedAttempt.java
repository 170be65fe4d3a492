package io.coppershelf.admission.internal;

import io.coppershelf.admission.GroupEvent.RequestArrived;

/**
 * A try that waits for a slot.
 *
 * @param request the request as it arrived
 * @param expectedNanos its expected service time
 */
public record QueuedAttempt(RequestArrived request, long expectedNanos) {
    /** Returns the id of the try. */
    public String attemptId() {
        return request.attemptId();
    }

    /** Returns the time left until the deadline, negative after it. */
    public long slackNanos(long nowNanos) {
        return request.deadlineNanos() - nowNanos;
    }
}
