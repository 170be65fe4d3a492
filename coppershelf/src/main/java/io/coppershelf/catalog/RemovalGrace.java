package io.coppershelf.catalog;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Retains servers for a grace period if their registrations disappear together or shortly after a platform outage:
 * registrations expire while servers can't renew them, and live servers register again within about two seconds. A
 * server that reported that it drains is never retained. Free of I/O and clocks; not thread-safe.
 */
public final class RemovalGrace {
    /** Grace period after a platform outage; live servers have registered again by then. */
    static final long AFTER_OUTAGE_NANOS = TimeUnit.MILLISECONDS.toNanos(2200);
    /** Grace period of servers that disappear together; a leaving server must get no requests after two seconds. */
    static final long TOGETHER_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);
    /** Smallest share of a service's servers that counts as disappearing together. */
    private static final double MIN_TOGETHER_SHARE = 0.34;
    /** Smallest number of servers that counts as disappearing together. */
    private static final int MIN_TOGETHER = 2;

    private final Map<String, Retained> retained = new HashMap<>();

    /**
     * Applies a new list of registered servers.
     *
     * @param before the registered servers before
     * @param after the registered servers now
     * @param isAfterOutage whether there was a platform outage recently
     */
    public void update(ServerList before, ServerList after, boolean isAfterOutage, long nowNanos) {
        after.all().forEach(server -> retained.remove(server.id()));
        Map<String, List<BackendServer>> disappeared = new HashMap<>();
        for (BackendServer server : before.all()) {
            if (after.server(server.id()).isEmpty() && server.isAccepting()) {
                disappeared
                        .computeIfAbsent(server.service(), service -> new ArrayList<>())
                        .add(server);
            }
        }
        disappeared.forEach((service, servers) -> {
            int acceptingBefore = before.accepting(service).size();
            boolean isTogether =
                    servers.size() >= MIN_TOGETHER && servers.size() >= MIN_TOGETHER_SHARE * acceptingBefore;
            if (isAfterOutage || isTogether) {
                long untilNanos = nowNanos + (isAfterOutage ? AFTER_OUTAGE_NANOS : TOGETHER_NANOS);
                servers.forEach(server -> retained.put(server.id(), new Retained(server, untilNanos)));
            }
        });
    }

    /** Stops to retain an incarnation. */
    public void discard(String serverKey) {
        retained.values().removeIf(server -> server.server.key().equals(serverKey));
    }

    /** Removes the servers whose grace period is over. Returns whether there were any. */
    public boolean expire(long nowNanos) {
        return retained.values().removeIf(server -> nowNanos - server.untilNanos >= 0);
    }

    /** Returns the registered servers together with the retained ones. */
    public ServerList withRetained(ServerList registered) {
        if (retained.isEmpty()) {
            return registered;
        }
        Collection<BackendServer> servers = new ArrayList<>(registered.all());
        retained.values().forEach(server -> servers.add(server.server));
        return ServerList.of(registered.revision(), servers);
    }

    private record Retained(BackendServer server, long untilNanos) {}
}
