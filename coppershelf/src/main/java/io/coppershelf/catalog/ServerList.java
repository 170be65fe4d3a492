package io.coppershelf.catalog;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The backend servers that are registered at one revision of the platform. Immutable. */
public final class ServerList {
    /** The empty list before the first reading. */
    public static final ServerList EMPTY = new ServerList(CatalogRevision.NONE, Map.of());

    private final CatalogRevision revision;
    private final Map<String, BackendServer> byId;
    private final Map<String, List<BackendServer>> acceptingByService;

    private ServerList(CatalogRevision revision, Map<String, BackendServer> byId) {
        this.revision = revision;
        this.byId = byId;
        Map<String, List<BackendServer>> accepting = new HashMap<>();
        for (BackendServer server : byId.values()) {
            if (server.isAccepting()) {
                accepting
                        .computeIfAbsent(server.service(), service -> new ArrayList<>())
                        .add(server);
            }
        }
        acceptingByService = accepting;
    }

    /** Returns the list of the given servers. */
    public static ServerList of(CatalogRevision revision, Collection<BackendServer> servers) {
        Map<String, BackendServer> byId = new HashMap<>();
        servers.forEach(server -> byId.put(server.id(), server));
        return new ServerList(revision, byId);
    }

    /** Returns the revision of the platform. */
    public CatalogRevision revision() {
        return revision;
    }

    /** Returns all servers, including those that drain. */
    public Collection<BackendServer> all() {
        return byId.values();
    }

    /** Returns the servers of a service that accept new requests. */
    public List<BackendServer> accepting(String service) {
        return acceptingByService.getOrDefault(service, List.of());
    }

    /** Returns the servers of all services that accept new requests. */
    public List<BackendServer> accepting() {
        return byId.values().stream().filter(BackendServer::isAccepting).toList();
    }

    /** Returns whether this incarnation of the server is on the list. */
    public boolean contains(BackendServer server) {
        return server(server.id())
                .filter(known -> known.isSameIncarnation(server))
                .isPresent();
    }

    /** Returns a server by its id. */
    public Optional<BackendServer> server(String id) {
        return Optional.ofNullable(byId.get(id));
    }
}
