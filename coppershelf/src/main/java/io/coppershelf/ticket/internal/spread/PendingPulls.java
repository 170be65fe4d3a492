package io.coppershelf.ticket.internal.spread;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The tickets that this VM has heard of and fetches, each from one peer at a time. */
final class PendingPulls {
    private static final int PULLS_AT_MOST = 256;
    private static final int SOURCES_AT_MOST = 8;

    private final Map<TicketKey, Deque<String>> sources = new HashMap<>();

    /** Returns whether the ticket is to be pulled from the peer now; else the peer is kept as another source. */
    boolean begin(TicketKey key, String peer) {
        Deque<String> others = sources.get(key);
        if (others != null) {
            if (others.size() < SOURCES_AT_MOST) {
                others.addLast(peer);
            }
            return false;
        }
        if (sources.size() >= PULLS_AT_MOST) {
            return false;
        }
        sources.put(key, new ArrayDeque<>());
        return true;
    }

    /** Returns the peer to try next after a failure, empty if none is left. */
    Optional<String> nextSource(TicketKey key) {
        Deque<String> others = sources.getOrDefault(key, new ArrayDeque<>());
        Optional<String> next = Optional.ofNullable(others.pollFirst());
        if (next.isEmpty()) {
            sources.remove(key);
        }
        return next;
    }

    boolean isEmpty() {
        return sources.isEmpty();
    }

    void end(TicketKey key) {
        sources.remove(key);
    }
}
