package io.coppershelf.health.internal;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The sources by which servers are draining: a ticket, their own report, or both. */
public final class DrainSources {
    /**
     * Shortest time for which a server that reported a drain stays draining, as the state in a probe's answer may be
     * out of date.
     */
    private static final long MIN_DRAIN_NANOS = Duration.ofSeconds(10).toNanos();

    private final Set<String> byTicket = new HashSet<>();
    private final Map<String, Long> byOwnReport = new HashMap<>();

    /** Records whether the ticket drains the server; returns whether the server is draining now. */
    public boolean setByTicket(String server, boolean draining) {
        if (draining) {
            byTicket.add(server);
        } else {
            byTicket.remove(server);
        }
        return isDraining(server);
    }

    /** Records the server's report that it is draining. */
    public void reportDraining(String server, long nowNanos) {
        byOwnReport.put(server, nowNanos);
    }

    /**
     * Records the server's report that it is not draining; returns whether it is still draining, by ticket or by a
     * recent report.
     */
    public boolean reportNotDraining(String server, long nowNanos) {
        Long since = byOwnReport.get(server);
        if (since != null && nowNanos - since >= MIN_DRAIN_NANOS) {
            byOwnReport.remove(server);
        }
        return isDraining(server);
    }

    /** Removes a server that has left the group. */
    public void remove(String server) {
        byTicket.remove(server);
        byOwnReport.remove(server);
    }

    private boolean isDraining(String server) {
        return byTicket.contains(server) || byOwnReport.containsKey(server);
    }
}
