package io.coppershelf.proxy;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Copies the headers that concern the whole way; those of one connection stay behind. */
final class EndToEndHeaders {
    private static final List<CharSequence> OF_ONE_CONNECTION = List.of(
            HttpHeaderNames.CONNECTION,
            "proxy-connection",
            HttpHeaderNames.TE,
            HttpHeaderNames.TRAILER,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.UPGRADE,
            HttpHeaderNames.EXPECT,
            HttpHeaderNames.CONTENT_LENGTH,
            "keep-alive");

    private EndToEndHeaders() {}

    /** Returns a copy without the headers of one connection and without the length, which is set anew. */
    static HttpHeaders copy(HttpHeaders received) {
        HttpHeaders headers = new DefaultHttpHeaders().add(received);
        for (String value : received.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",", -1)) {
                if (!name.isBlank()) {
                    headers.remove(name.trim());
                }
            }
        }
        OF_ONE_CONNECTION.forEach(headers::remove);
        return headers;
    }

    /** Returns whether a message with these headers has a body, if only an empty one. */
    static boolean announcesBody(HttpHeaders received) {
        return received.contains(HttpHeaderNames.CONTENT_LENGTH)
                || received.contains(HttpHeaderNames.TRANSFER_ENCODING);
    }
}
