package io.coppershelf.membership.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The updates that are piggybacked on probes and replies, each a limited number of times.
 *
 * @see <a href="https://doi.org/10.1109/DSN.2002.1028914">Das, Gupta and Motivala, SWIM: Scalable Weakly-consistent
 *     Infection-style Process Group Membership Protocol, 2002</a>
 */
final class GossipQueue {
    static final int MAX_UPDATES_PER_MESSAGE = 6;
    private static final int TRANSMISSIONS_PER_DOUBLING = 3;

    private final Map<String, Entry> entries = new HashMap<>();

    /** Queues an update; it replaces an earlier one about the same VM. */
    void add(MemberUpdate update) {
        entries.put(update.vm().id(), new Entry(update));
    }

    /** Returns the updates for the next message, those sent least often first. */
    List<MemberUpdate> nextUpdates(int fleetSize) {
        int transmissionLimit = TRANSMISSIONS_PER_DOUBLING * (Integer.SIZE - Integer.numberOfLeadingZeros(fleetSize));
        List<Entry> chosen = entries.values().stream()
                .sorted(Comparator.comparingInt((Entry entry) -> entry.transmissions)
                        .thenComparing(entry -> entry.update.vm().id()))
                .limit(MAX_UPDATES_PER_MESSAGE)
                .toList();
        List<MemberUpdate> updates = new ArrayList<>();
        for (Entry entry : chosen) {
            updates.add(entry.update);
            entry.transmissions++;
            if (entry.transmissions >= transmissionLimit) {
                entries.remove(entry.update.vm().id());
            }
        }
        return updates;
    }

    private static final class Entry {
        private final MemberUpdate update;
        private int transmissions;

        Entry(MemberUpdate update) {
            this.update = update;
        }
    }
}
