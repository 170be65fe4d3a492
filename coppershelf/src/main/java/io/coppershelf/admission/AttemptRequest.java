package io.coppershelf.admission;

import io.coppershelf.backend.BackendRequest.Header;
import java.util.List;

/**
 * One attempt at a caller's request, to be sent to the owner of a server group.
 *
 * @param attemptId the id of the attempt, unique in the fleet
 * @param group the server group that serves it
 * @param route the name of the route
 * @param method the HTTP method
 * @param target the path and query
 * @param headers the caller's headers that are forwarded
 * @param body the complete body
 * @param idempotent whether it may be retried
 * @param weight its weight
 * @param largestAnswer the largest answer body in bytes
 * @param hedge whether it is a hedge
 * @param deadlineNanos the monotonic time after which the answer is of no use
 */
public record AttemptRequest(
        String attemptId,
        GroupName group,
        String route,
        String method,
        String target,
        List<Header> headers,
        byte[] body,
        boolean idempotent,
        int weight,
        int largestAnswer,
        boolean hedge,
        long deadlineNanos) {
    public AttemptRequest {
        headers = List.copyOf(headers);
    }
}
