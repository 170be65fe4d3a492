package io.coppershelf.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;

/**
 * A complete request of a caller.
 *
 * @param caller the IP address of the caller
 * @param relay the VM that handed the request to this one, empty if it came from the caller itself
 * @param method the method
 * @param uri path and query as received
 * @param headers the headers as received
 * @param body the complete body
 * @param readAtNanos the monotonic time at which its head was complete
 * @param isKeepAlive whether the caller keeps the connection open
 */
record CallerRequest(
        String caller,
        Optional<Relay> relay,
        HttpMethod method,
        String uri,
        HttpHeaders headers,
        byte[] body,
        long readAtNanos,
        boolean isKeepAlive) {
    /**
     * A VM that received the request and reaches no server.
     *
     * @param vm its IP address
     * @param servers the number of servers to which the request may still be sent
     */
    record Relay(String vm, int servers) {}
}
