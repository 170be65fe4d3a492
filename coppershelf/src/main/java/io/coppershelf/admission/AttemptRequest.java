package io.coppershelf.admission;

import io.coppershelf.backend.BackendRequest.Header;
import java.util.List;

/**
 * One try of a caller's request, on its way to the owner of a server group.
 *
 * @param attemptId unique over the fleet and all tries
 * @param group the server group that is to serve it
 * @param route the name of the request kind
 * @param method the HTTP method
 * @param target the path and query
 * @param headers the caller's headers that go on
 * @param body the whole body
 * @param idempotent whether it may be repeated
 * @param weight its weight
 * @param largestAnswer the largest answer body in bytes
 * @param hedge whether it is a second, parallel try
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
