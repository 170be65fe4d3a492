package io.coppershelf.proxy;

import io.coppershelf.backend.HeaderRules;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Locale;

/** Copies end-to-end headers and drops hop-by-hop headers. */
final class EndToEndHeaders {
    private static final String HOST = HttpHeaderNames.HOST.toString();

    private EndToEndHeaders() {}

    /**
     * Returns a copy without the hop-by-hop headers and without the length, which is set again for the forwarded
     * message.
     */
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
            // Servers distinguish their routes by the host in the caller's request.
            if (HeaderRules.isHopByHop(lowerCaseName) && !lowerCaseName.equals(HOST)) {
                headers.remove(name);
            }
        }
        return headers;
    }

    /** Returns whether the headers declare a body, which may be empty. */
    static boolean declaresBody(HttpHeaders received) {
        return received.contains(HttpHeaderNames.CONTENT_LENGTH)
                || received.contains(HttpHeaderNames.TRANSFER_ENCODING);
    }
}
