package io.coppershelf.backend;

import io.coppershelf.backend.BackendRequest.Header;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Decides which HTTP headers are forwarded: neither hop-by-hop headers nor those that coppershelf owns.
 *
 * @see <a href="https://www.rfc-editor.org/rfc/rfc9110#section-7.6.1">RFC 9110, section 7.6.1</a>
 */
public final class HeaderRules {
    /** The prefix, in lower case, of all headers that coppershelf owns. */
    public static final String OWNED_PREFIX = "coppershelf-";

    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "content-length",
            "expect",
            "host",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private HeaderRules() {}

    /** Returns whether a header is hop-by-hop, by its name in lower case. */
    public static boolean isHopByHop(String lowerCaseName) {
        return HOP_BY_HOP.contains(lowerCaseName);
    }

    /**
     * Returns the headers to forward. Headers that the {@code Connection} header names are hop-by-hop too.
     *
     * @param headers the header lines by name, in any case
     */
    public static List<Header> forwardable(Map<String, List<String>> headers) {
        Set<String> named = namedByConnection(headers);
        List<Header> result = new ArrayList<>();
        headers.forEach((name, values) -> {
            String lower = name.toLowerCase(Locale.ROOT);
            if (isHopByHop(lower) || isOwned(lower) || named.contains(lower)) {
                return;
            }
            values.forEach(value -> result.add(new Header(name, value)));
        });
        return List.copyOf(result);
    }

    private static boolean isOwned(String lowerCaseName) {
        return lowerCaseName.startsWith(OWNED_PREFIX);
    }

    private static Set<String> namedByConnection(Map<String, List<String>> headers) {
        Set<String> named = new HashSet<>();
        headers.forEach((name, values) -> {
            if (name.equalsIgnoreCase("connection")) {
                values.forEach(value -> addTokens(value, named));
            }
        });
        return named;
    }

    private static void addTokens(String value, Set<String> named) {
        for (String token : value.split(",", -1)) {
            named.add(token.strip().toLowerCase(Locale.ROOT));
        }
    }
}
