package io.coppershelf.ticket.internal;

import java.util.ArrayList;
import java.util.List;

/** The forms of a route's path: exact, or a prefix that ends with the segment {@code *}. */
public final class PathPatterns {
    private static final String ANY_REMAINDER = "/*";
    private static final String RESERVED = "/coppershelf";

    private PathPatterns() {}

    /**
     * Returns the patterns that match a path, the most specific first: the path itself, then shorter and shorter
     * prefixes.
     */
    static List<String> matching(String path) {
        List<String> patterns = new ArrayList<>();
        if (!path.endsWith(ANY_REMAINDER)) {
            patterns.add(path);
        }
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            patterns.add(path.substring(0, slash) + ANY_REMAINDER);
        }
        return patterns;
    }

    /** Returns whether the text may be the path of a route. */
    public static boolean isValid(String pattern) {
        String path = pattern.endsWith(ANY_REMAINDER)
                ? pattern.substring(0, pattern.length() - ANY_REMAINDER.length() + 1)
                : pattern;
        return path.matches("/([A-Za-z0-9._~@:+,=-]+/)*([A-Za-z0-9._~@:+,=-]+)?") && !path.matches(".*/\\.{1,2}(/.*)?");
    }

    /** Returns whether the path is reserved for coppershelf itself. */
    public static boolean isReserved(String pattern) {
        return pattern.equals(RESERVED) || pattern.startsWith(RESERVED + "/");
    }
}
