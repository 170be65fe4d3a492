package io.coppershelf.catalog;

import java.util.Optional;

/**
 * The configuration and the backend servers in force on this VM.
 *
 * @param configuration the newest configuration, empty until one was read
 * @param servers the newest list of servers
 */
public record Catalog(Optional<FleetConfiguration> configuration, ServerList servers) {
    /** The catalog before the first reading. */
    public static final Catalog EMPTY = new Catalog(Optional.empty(), ServerList.EMPTY);

    /** Returns this catalog with the configuration, unless a newer one is already in force. */
    public Catalog with(FleetConfiguration candidate) {
        boolean isOlder = configuration
                .filter(current -> current.version() >= candidate.version())
                .isPresent();
        return isOlder ? this : new Catalog(Optional.of(candidate), servers);
    }

    /** Returns this catalog with the list, unless a newer one is already in force. */
    public Catalog with(ServerList candidate) {
        return servers.revision().isAfter(candidate.revision()) ? this : new Catalog(configuration, candidate);
    }

    /** Returns whether requests can be routed. */
    public boolean isServing() {
        return configuration.isPresent() && !servers.all().isEmpty();
    }
}
