package io.coppershelf.catalog;

import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a request: among the routes of its host, the one with the longest prefix of its path. A lookup
 * takes one hash access for each segment of the path, however many routes there are.
 */
public final class RouteTable {
    private final Map<String, Map<String, Route>> routesByHost;
    private final int size;

    private RouteTable(Map<String, Map<String, Route>> routesByHost, int size) {
        this.routesByHost = routesByHost;
        this.size = size;
    }

    /** Returns a table of the routes. */
    public static RouteTable of(Collection<Route> routes) {
        Map<String, Map<String, Route>> byHost = new HashMap<>();
        for (Route route : routes) {
            byHost.computeIfAbsent(route.host(), host -> new HashMap<>()).put(route.pathPrefix(), route);
        }
        return new RouteTable(byHost, routes.size());
    }

    /** Returns all routes. */
    public Collection<Route> all() {
        return routesByHost.values().stream()
                .flatMap(routes -> routes.values().stream())
                .toList();
    }

    /** Returns the number of routes. */
    public int size() {
        return size;
    }

    /**
     * Returns the route of a request.
     *
     * @param hostHeader the value of the {@code Host} header, with or without a port
     * @param path the path, with or without a query
     */
    public Optional<Route> match(String hostHeader, String path) {
        Map<String, Route> routes = routesByHost.get(hostName(hostHeader));
        if (routes == null) {
            return Optional.empty();
        }
        int end = lastSlash(path);
        while (end >= 0) {
            Route route = routes.get(path.substring(0, end + 1));
            if (route != null) {
                return Optional.of(route);
            }
            end = path.lastIndexOf('/', end - 1);
        }
        return Optional.empty();
    }

    private static int lastSlash(String path) {
        int query = path.indexOf('?');
        return path.lastIndexOf('/', query < 0 ? path.length() : query);
    }

    private static String hostName(String hostHeader) {
        int colon = hostHeader.lastIndexOf(':');
        String name = colon < 0 ? hostHeader : hostHeader.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }
}
