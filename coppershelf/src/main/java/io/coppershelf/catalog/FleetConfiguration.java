package io.coppershelf.catalog;

import java.util.Map;
import java.util.Optional;

/**
 * The configuration that the operator has published.
 *
 * @param version the version that the operator assigned to it; the highest one is in force, also when the platform's
 *     store was restored from a copy that has only an older one
 * @param routes all routes
 * @param connectionCaps the largest number of connections that a server of each service accepts from the whole fleet
 * @param limits the limits for callers
 * @param tenants the tenants, empty if callers need no API keys
 */
public record FleetConfiguration(
        long version,
        RouteTable routes,
        Map<String, Integer> connectionCaps,
        CallerLimits limits,
        Optional<TenantTable> tenants) {
    /** Copies the map. */
    public FleetConfiguration {
        connectionCaps = Map.copyOf(connectionCaps);
    }

    /** Creates a configuration without tenants. */
    public FleetConfiguration(
            long version, RouteTable routes, Map<String, Integer> connectionCaps, CallerLimits limits) {
        this(version, routes, connectionCaps, limits, Optional.empty());
    }
}
