package io.coppershelf.catalog;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What a reading of the platform brought.
 *
 * @param since the revision that the changes follow, 0 for a complete reading
 * @param revision the revision that the reading reached
 * @param configuration the configuration, if it was read or has changed
 * @param changed servers that are new or report something else
 * @param removed the ids of servers that are not registered any more
 */
public record CatalogChange(
        long since,
        long revision,
        Optional<FleetConfiguration> configuration,
        List<BackendServer> changed,
        Set<String> removed) {
    /** Copies the collections. */
    public CatalogChange {
        changed = List.copyOf(changed);
        removed = Set.copyOf(removed);
    }

    /** Returns a complete reading with that result. */
    public static CatalogChange complete(ServerList servers, Optional<FleetConfiguration> configuration) {
        return new CatalogChange(0, servers.revision(), configuration, List.copyOf(servers.all()), Set.of());
    }

    /** Returns whether the change can be applied to a list of that revision without a gap. */
    public boolean follows(long listRevision) {
        return since == 0 || listRevision >= since;
    }

    /** Returns the list after the change; the list must not be newer than the change. */
    public ServerList applyTo(ServerList list) {
        Map<String, BackendServer> servers = new HashMap<>();
        if (since > 0) {
            list.all().forEach(server -> servers.put(server.id(), server));
        }
        removed.forEach(servers::remove);
        changed.forEach(server -> servers.put(server.id(), server));
        return ServerList.of(revision, servers.values());
    }
}
