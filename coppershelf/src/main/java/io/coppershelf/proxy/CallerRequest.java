package io.coppershelf.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A complete request of a caller.
 *
 * @param caller the IP address of the caller
 * @param method the method
 * @param uri path and query as received
 * @param headers the headers as received
 * @param body the complete body
 * @param readAtNanos the monotonic time at which its head was complete
 * @param isKeepAlive whether the caller keeps the connection open
 */
record CallerRequest(
        String caller,
        HttpMethod method,
        String uri,
        HttpHeaders headers,
        byte[] body,
        long readAtNanos,
        boolean isKeepAlive) {}
