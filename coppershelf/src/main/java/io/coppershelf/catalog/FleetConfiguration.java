package io.coppershelf.catalog;

import java.util.Map;

/**
 * The configuration of the operator.
 *
 * @param revision the revision at which it was published; a higher one wins
 * @param version the version that the operator gave it
 * @param routes all routes
 * @param connectionCaps the connections that a server of each service accepts from the whole fleet
 * @param limits the limits for callers
 */
public record FleetConfiguration(
        long revision, long version, RouteTable routes, Map<String, Integer> connectionCaps, CallerLimits limits) {
    /** Copies the map. */
    public FleetConfiguration {
        connectionCaps = Map.copyOf(connectionCaps);
    }
}
