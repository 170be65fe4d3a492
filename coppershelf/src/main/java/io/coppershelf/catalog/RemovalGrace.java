package io.coppershelf.catalog;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Keeps servers in use for a while whose entries vanished together, or right after the platform was away: registrations
 * expire while servers can't renew them, and live servers are back within about two seconds. A server that reported
 * that it drains is never kept. Pure; not safe for several threads.
 */
public final class RemovalGrace {
    /** How long servers are kept after the platform was away; live ones have registered again by then. */
    static final long AFTER_OUTAGE_NANOS = TimeUnit.MILLISECONDS.toNanos(2200);
    /** How long servers are kept that vanished together; a leaving server gets no work after two seconds. */
    static final long TOGETHER_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);
    /** The share of a service's servers from which they count as vanished together. */
    private static final double TOGETHER_SHARE = 0.34;
    /** The least number of servers that count as vanished together. */
    private static final int TOGETHER_LEAST = 2;

    private final Map<String, Kept> kept = new HashMap<>();

    /**
     * Takes a new list of registered servers.
     *
     * @param before the registered servers before
     * @param after the registered servers now
     * @param isAfterOutage whether the platform was away of late
     */
    public void update(ServerList before, ServerList after, boolean isAfterOutage, long nowNanos) {
        after.all().forEach(server -> kept.remove(server.id()));
        Map<String, List<BackendServer>> vanished = new HashMap<>();
        for (BackendServer server : before.all()) {
            if (after.server(server.id()).isEmpty() && server.isAccepting()) {
                vanished.computeIfAbsent(server.service(), service -> new ArrayList<>())
                        .add(server);
            }
        }
        vanished.forEach((service, servers) -> {
            int known = before.accepting(service).size();
            boolean isTogether = servers.size() >= TOGETHER_LEAST && servers.size() >= TOGETHER_SHARE * known;
            if (isAfterOutage || isTogether) {
                long untilNanos = nowNanos + (isAfterOutage ? AFTER_OUTAGE_NANOS : TOGETHER_NANOS);
                servers.forEach(server -> kept.put(server.id(), new Kept(server, untilNanos)));
            }
        });
    }

    /** Drops the servers whose time is over. Returns whether there were any. */
    public boolean expire(long nowNanos) {
        return kept.values().removeIf(server -> nowNanos - server.untilNanos >= 0);
    }

    /** Returns the registered servers together with those that are kept. */
    public ServerList withRetained(ServerList registered) {
        if (kept.isEmpty()) {
            return registered;
        }
        Collection<BackendServer> servers = new ArrayList<>(registered.all());
        kept.values().forEach(server -> servers.add(server.server));
        return ServerList.of(registered.revision(), servers);
    }

    private record Kept(BackendServer server, long untilNanos) {}
}
