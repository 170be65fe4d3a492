package io.coppershelf.catalog;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The result of a reading of the platform.
 *
 * @param since the revision that the changes follow, {@link CatalogRevision#NONE} for a complete reading
 * @param revision the revision that the reading reached
 * @param configuration the configuration, if it was read or has changed
 * @param changed servers that are new or whose report has changed
 * @param removed the ids of servers whose registration was removed; those that registered again are among the changed
 */
public record CatalogChange(
        CatalogRevision since,
        CatalogRevision revision,
        Optional<FleetConfiguration> configuration,
        List<BackendServer> changed,
        Set<String> removed) {
    /** Copies the collections. */
    public CatalogChange {
        changed = List.copyOf(changed);
        removed = Set.copyOf(removed);
    }

    /** Returns the result of a complete reading. */
    public static CatalogChange complete(ServerList servers, Optional<FleetConfiguration> configuration) {
        return new CatalogChange(
                CatalogRevision.NONE, servers.revision(), configuration, List.copyOf(servers.all()), Set.of());
    }

    /** Returns whether this is the result of a complete reading. */
    public boolean isComplete() {
        return since.equals(CatalogRevision.NONE);
    }

    /** Returns whether the change can be applied to a list of that revision without a gap. */
    public boolean follows(CatalogRevision listRevision) {
        return isComplete() || (listRevision.isSameEra(since) && !since.isAfter(listRevision));
    }

    /** Returns the list with the change applied; the list must not be newer than the change. */
    public ServerList applyTo(ServerList list) {
        Map<String, BackendServer> servers = new HashMap<>();
        if (!isComplete()) {
            list.all().forEach(server -> servers.put(server.id(), server));
        }
        removed.forEach(servers::remove);
        changed.forEach(server -> servers.put(server.id(), server));
        return ServerList.of(revision, servers.values());
    }
}
