package io.coppershelf.backend;

import io.coppershelf.ticket.ServerSpec;
import java.util.List;

/**
 * One try of a request on one backend server.
 *
 * @param attemptId unique over the fleet and all tries; the server's answer must carry it
 * @param server the server
 * @param method the HTTP method
 * @param target the path and query
 * @param headers the caller's headers that go on, without hop-by-hop ones and ours
 * @param body the whole body
 * @param deadlineNanos the monotonic time after which the answer is of no use
 * @param largestAnswer the largest answer body in bytes
 */
public record BackendRequest(
        String attemptId,
        ServerSpec server,
        String method,
        String target,
        List<Header> headers,
        byte[] body,
        long deadlineNanos,
        int largestAnswer) {
    /**
     * A header line.
     *
     * @param name its name
     * @param value its value
     */
    public record Header(String name, String value) {}
}
