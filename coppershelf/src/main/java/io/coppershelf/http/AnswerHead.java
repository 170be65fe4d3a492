package io.coppershelf.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * The head of an answer.
 *
 * @param minorVersion the minor version of HTTP/1
 * @param status the status code
 * @param headers the header fields as received
 */
record AnswerHead(int minorVersion, int status, HttpHeaders headers) {
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /** Returns whether the answer is an interim one, which another answer follows. */
    boolean isInterim() {
        return status / 100 == 1;
    }

    /** Returns whether an answer with this status never has a body. */
    boolean hasNoBody() {
        return isInterim() || status == NO_CONTENT || status == NOT_MODIFIED;
    }

    /** Returns whether the server keeps the connection (RFC 9112, 9.3). */
    boolean isPersistent() {
        if (headers.containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true)) {
            return false;
        }
        return minorVersion > 0 || headers.containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE, true);
    }
}
