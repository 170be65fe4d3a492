package io.coppershelf.ticket.internal.spread;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The announced tickets that this VM is pulling, each from one peer at a time. */
final class PendingPulls {
    private static final int MAX_PULLS = 256;
    private static final int MAX_OTHER_SOURCES = 8;

    private final Map<TicketKey, Deque<String>> otherSources = new HashMap<>();

    /**
     * Returns whether to pull the ticket from the peer now; if a pull is in progress, the peer is kept as another
     * source.
     */
    boolean begin(TicketKey key, String peer) {
        Deque<String> others = otherSources.get(key);
        if (others != null) {
            if (others.size() < MAX_OTHER_SOURCES) {
                others.addLast(peer);
            }
            return false;
        }
        if (otherSources.size() >= MAX_PULLS) {
            return false;
        }
        otherSources.put(key, new ArrayDeque<>());
        return true;
    }

    /** Returns the peer to pull from after a failure; ends the pull and returns empty if none is left. */
    Optional<String> nextSource(TicketKey key) {
        Deque<String> others = otherSources.getOrDefault(key, new ArrayDeque<>());
        Optional<String> next = Optional.ofNullable(others.pollFirst());
        if (next.isEmpty()) {
            otherSources.remove(key);
        }
        return next;
    }

    boolean isEmpty() {
        return otherSources.isEmpty();
    }

    void end(TicketKey key) {
        otherSources.remove(key);
    }
}
