package io.coppershelf.admission.internal;

import io.coppershelf.admission.GroupEvent.RequestArrived;

/**
 * An attempt that was dispatched to a server.
 *
 * @param request the request as it arrived
 * @param server the server
 * @param dispatchedNanos when it was dispatched, in observed time
 */
public record RunningAttempt(RequestArrived request, String server, long dispatchedNanos) {
    /** Returns the id of the attempt. */
    public String attemptId() {
        return request.attemptId();
    }
}
