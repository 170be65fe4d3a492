package io.coppershelf.proxy;

import io.coppershelf.backend.HeaderRules;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Locale;

/** Copies the headers that concern the whole way; those of one connection stay behind. */
final class EndToEndHeaders {
    private static final String HOST = HttpHeaderNames.HOST.toString();

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
        List<String> names = List.copyOf(headers.names());
        for (String name : names) {
            String lowerCaseName = name.toLowerCase(Locale.ROOT);
            // A server tells its routes apart by the host that the caller asked for.
            if (HeaderRules.isHopByHop(lowerCaseName) && !lowerCaseName.equals(HOST)) {
                headers.remove(name);
            }
        }
        return headers;
    }

    /** Returns whether a message with these headers has a body, if only an empty one. */
    static boolean declaresBody(HttpHeaders received) {
        return received.contains(HttpHeaderNames.CONTENT_LENGTH)
                || received.contains(HttpHeaderNames.TRANSFER_ENCODING);
    }
}
