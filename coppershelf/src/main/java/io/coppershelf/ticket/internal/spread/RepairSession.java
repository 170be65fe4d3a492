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

/**
 * One repair from one peer: compares the digests of bucket groups, then those of buckets, then fetches the objects of
 * the buckets that differ.
 */
final class RepairSession {
    private static final int MAX_BUCKETS_PER_REQUEST = 32;

    private final Vm peer;
    private final boolean isServing;
    private final Deque<Integer> differingBuckets = new ArrayDeque<>();

    /**
     * Creates a session.
     *
     * @param peer the VM from which objects are fetched
     * @param isServing whether the peer serves
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

    /** Returns the first request, empty if no group differs. */
    Optional<RequestBuckets> start(List<Integer> differingGroups) {
        return differingGroups.isEmpty() ? Optional.empty() : Optional.of(new RequestBuckets(peer, differingGroups));
    }

    /**
     * Compares the digests of the peer's buckets with the local ones and returns the next request, empty if no bucket
     * differs.
     */
    Optional<RequestVersions> compare(long[] local, Map<Integer, Long> remote) {
        remote.forEach((bucket, digest) -> {
            if (bucket >= 0 && bucket < local.length && local[bucket] != digest) {
                differingBuckets.addLast(bucket);
            }
        });
        return next();
    }

    /** Returns the next request, empty if all differing buckets have been requested. */
    Optional<RequestVersions> next() {
        List<Integer> chosen = new ArrayList<>();
        while (chosen.size() < MAX_BUCKETS_PER_REQUEST && !differingBuckets.isEmpty()) {
            chosen.add(differingBuckets.pollFirst());
        }
        return chosen.isEmpty() ? Optional.empty() : Optional.of(new RequestVersions(peer, chosen));
    }
}
