package io.coppershelf.catalog;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Condenses the reports and removals that one reading returns, in their order. The last report of a server counts. But
 * a server that drains does so until its incarnation ends, also if a later report says otherwise: a report may reach
 * the platform late. Not thread-safe.
 */
public final class ServerReports {
    private final Map<String, BackendServer> changed = new LinkedHashMap<>();
    private final Set<String> removed = new HashSet<>();
    private final Set<String> drainingKeys = new HashSet<>();

    /** Adds a report. */
    public void add(BackendServer server) {
        if (!server.isAccepting()) {
            drainingKeys.add(server.key());
        }
        changed.put(server.id(), drainingKeys.contains(server.key()) ? server.withoutAccepting() : server);
    }

    /** Records that the registration of a server was removed or can't be used. */
    public void remove(String id) {
        changed.remove(id);
        removed.add(id);
    }

    /** Returns the last report of each server that is registered. */
    public List<BackendServer> changed() {
        return List.copyOf(changed.values());
    }

    /** Returns the ids of the servers that were removed, also of those that registered again. */
    public Set<String> removed() {
        return Set.copyOf(removed);
    }
}
