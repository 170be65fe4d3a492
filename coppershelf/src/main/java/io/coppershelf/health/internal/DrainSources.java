package io.coppershelf.health.internal;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The signs by which servers drain: a ticket, their own word, or both. */
public final class DrainSources {
    /** How long a server that drains by its own word is not taken back by a probe, which may lag. */
    private static final long LEAST_DRAIN_NANOS = Duration.ofSeconds(10).toNanos();

    private final Set<String> byTicket = new HashSet<>();
    private final Map<String, Long> byOwnWord = new HashMap<>();

    /** Takes in what the ticket says; returns whether the server is to drain now. */
    public boolean setByTicket(String server, boolean draining) {
        if (draining) {
            byTicket.add(server);
        } else {
            byTicket.remove(server);
        }
        return isDraining(server);
    }

    /** Takes in the server's word that it drains. */
    public void reportDraining(String server, long nowNanos) {
        byOwnWord.put(server, nowNanos);
    }

    /** Takes in the server's word that it does not drain; returns whether it is to drain all the same. */
    public boolean reportNotDraining(String server, long nowNanos) {
        Long since = byOwnWord.get(server);
        if (since != null && nowNanos - since >= LEAST_DRAIN_NANOS) {
            byOwnWord.remove(server);
        }
        return isDraining(server);
    }

    /** Forgets a server that is gone. */
    public void remove(String server) {
        byTicket.remove(server);
        byOwnWord.remove(server);
    }

    private boolean isDraining(String server) {
        return byTicket.contains(server) || byOwnWord.containsKey(server);
    }
}
