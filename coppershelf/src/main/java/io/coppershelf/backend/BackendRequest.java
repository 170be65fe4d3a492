package io.coppershelf.backend;

import io.coppershelf.ticket.ServerSpec;
import java.util.List;

/**
 * One attempt to run a request on one backend server.
 *
 * @param attemptId unique across the fleet and all attempts; the server's answer must carry it
 * @param server the server
 * @param method the HTTP method
 * @param target the path and query
 * @param headers the caller's headers to forward, without hop-by-hop headers and those that coppershelf owns
 * @param body the complete body
 * @param deadlineNanos the monotonic time in nanoseconds after which an answer is too late
 * @param largestAnswer the maximum size of the answer's body, in bytes
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
