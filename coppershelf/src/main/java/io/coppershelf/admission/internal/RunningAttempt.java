package io.coppershelf.admission.internal;

import io.coppershelf.admission.GroupEvent.AttemptArrived;

/**
 * An attempt that was dispatched to a server.
 *
 * @param arrival the attempt as it arrived
 * @param server the server
 * @param dispatchedNanos when it was dispatched, in observed time
 */
public record RunningAttempt(AttemptArrived arrival, String server, long dispatchedNanos) {
    /** Returns the id of the attempt. */
    public String attemptId() {
        return arrival.attemptId();
    }
}
