package io.coppershelf.ticket.internal.spread;

import io.coppershelf.membership.Vm;
import io.coppershelf.ticket.internal.spread.SpreadAction.RequestBuckets;
import io.coppershelf.ticket.internal.spread.SpreadAction.RequestVersions;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One comparison with one peer: groups of buckets, then buckets, then the objects of those that differ. */
final class RepairSession {
    private static final int BUCKETS_PER_REQUEST = 32;

    private final Vm peer;
    private final boolean isServing;
    private final Deque<Integer> buckets = new ArrayDeque<>();

    /**
     * Creates a session.
     *
     * @param peer the VM from which objects are taken
     * @param isServing whether it serves
     */
    RepairSession(Vm peer, boolean isServing) {
        this.peer = peer;
        this.isServing = isServing;
    }

    boolean isWith(String id) {
        return peer.id().equals(id);
    }

    boolean isServing() {
        return isServing;
    }

    /** Returns the first question, empty if no group differs. */
    Optional<RequestBuckets> start(List<Integer> differingGroups) {
        return differingGroups.isEmpty() ? Optional.empty() : Optional.of(new RequestBuckets(peer, differingGroups));
    }

    /** Takes the digests of the peer's buckets and returns the next question, empty if there is none. */
    Optional<RequestVersions> compare(long[] mine, Map<Integer, Long> theirs) {
        theirs.forEach((bucket, digest) -> {
            if (bucket >= 0 && bucket < mine.length && mine[bucket] != digest) {
                buckets.addLast(bucket);
            }
        });
        return next();
    }

    /** Returns the next question, empty if all differing buckets are done. */
    Optional<RequestVersions> next() {
        List<Integer> chosen = new ArrayList<>();
        while (chosen.size() < BUCKETS_PER_REQUEST && !buckets.isEmpty()) {
            chosen.add(buckets.pollFirst());
        }
        return chosen.isEmpty() ? Optional.empty() : Optional.of(new RequestVersions(peer, chosen));
    }
}
