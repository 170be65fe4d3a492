package io.coppershelf.claim.internal;

import io.coppershelf.backend.BackendResult.Answer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The claim records that one VM holds, by key. Received updates are merged so that their order and duplicates make no
 * difference to the state. Not thread-safe.
 */
public final class ClaimTable {
    private final int capacity;
    private final TreeMap<String, Map<String, ClaimRecord>> claimsByKey = new TreeMap<>();
    private int size;
    private long answerBytes;

    /**
     * Creates an empty table.
     *
     * @param capacity the maximum number of claim records
     */
    public ClaimTable(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Claims the key for a request, unless another request with the key may have run.
     *
     * @param remaining the time until the deadline of the request
     */
    public HolderDecision claim(String key, RequestDigest digest, String requestId, Duration remaining, long nowNanos) {
        Map<String, ClaimRecord> known = claimsByKey.getOrDefault(key, Map.of());
        Optional<HolderDecision> conflict = conflict(known.values(), digest, requestId, nowNanos);
        if (conflict.isPresent()) {
            return conflict.get();
        }
        if (known.containsKey(requestId)) {
            boolean running = known.get(requestId).status(nowNanos) == ClaimStatus.RUNNING;
            return HolderDecision.of(running ? HolderDecision.Kind.ACCEPTED : HolderDecision.Kind.RUNNING);
        }
        if (isFull(nowNanos)) {
            return HolderDecision.of(HolderDecision.Kind.FULL);
        }
        long overdue = nowNanos + remaining.toNanos() + ClaimLimits.COMPLETION_MARGIN.toNanos();
        put(
                key,
                new ClaimRecord(
                        requestId, digest, ClaimStatus.RUNNING, Optional.empty(), overdue, expiryNanos(nowNanos)));
        return HolderDecision.of(HolderDecision.Kind.ACCEPTED);
    }

    /**
     * Records how a request ended.
     *
     * @param answer the complete answer if the request ran and the answer is to be kept
     */
    public void complete(
            String key,
            RequestDigest digest,
            String requestId,
            ClaimStatus status,
            Optional<Answer> answer,
            long nowNanos) {
        put(key, new ClaimRecord(requestId, digest, status, answer, nowNanos, expiryNanos(nowNanos)));
    }

    /** Merges a claim record of another holder. */
    public void merge(TransferredClaim transferred, long nowNanos) {
        ClaimRecord claim = transferred.toRecord(nowNanos);
        if (!claim.isExpired(nowNanos)) {
            put(transferred.key(), claim);
        }
    }

    /**
     * Returns the next claim records of a transfer, in the order of their keys; the records of one key are on one page.
     *
     * @param after the last key of the previous page, empty string for the first page
     * @param filter the keys to transfer
     */
    public Page page(String after, Predicate<String> filter, long nowNanos) {
        List<TransferredClaim> page = new ArrayList<>();
        String last = after;
        long bytes = 0;
        for (Map.Entry<String, Map<String, ClaimRecord>> entry :
                claimsByKey.tailMap(after, false).entrySet()) {
            if (page.size() >= ClaimLimits.PAGE_SIZE || bytes >= ClaimLimits.PAGE_BYTES) {
                return new Page(page, last, false);
            }
            last = entry.getKey();
            if (!filter.test(last)) {
                continue;
            }
            for (ClaimRecord claim : entry.getValue().values()) {
                page.add(TransferredClaim.of(last, claim, nowNanos));
                bytes += claim.answerBytes();
            }
        }
        return new Page(page, last, true);
    }

    /** Removes expired claim records. */
    public void prune(long nowNanos) {
        claimsByKey
                .values()
                .forEach(known -> known.values().removeIf(claim -> {
                    if (!claim.isExpired(nowNanos)) {
                        return false;
                    }
                    subtract(claim);
                    return true;
                }));
        claimsByKey.values().removeIf(Map::isEmpty);
    }

    /** Returns the number of claim records. */
    public int size() {
        return size;
    }

    /** Returns the total size of the kept answers in bytes. */
    public long answerBytes() {
        return answerBytes;
    }

    private static Optional<HolderDecision> conflict(
            Collection<ClaimRecord> known, RequestDigest digest, String ownId, long nowNanos) {
        List<ClaimRecord> others = known.stream()
                .filter(claim -> !claim.requestId().equals(ownId) && !claim.isExpired(nowNanos))
                .filter(claim -> claim.status() != ClaimStatus.NOT_RUN)
                .toList();
        if (others.stream().anyMatch(claim -> !claim.digest().equals(digest))) {
            return Optional.of(HolderDecision.of(HolderDecision.Kind.REUSED));
        }
        return others.stream()
                .max((a, b) -> a.status(nowNanos).compareTo(b.status(nowNanos)))
                .map(claim -> conflict(claim, nowNanos));
    }

    private static HolderDecision conflict(ClaimRecord claim, long nowNanos) {
        return switch (claim.status(nowNanos)) {
            case RUNNING -> HolderDecision.of(HolderDecision.Kind.RUNNING);
            case RUN -> new HolderDecision(HolderDecision.Kind.RUN, claim.answer());
            default -> HolderDecision.of(HolderDecision.Kind.UNKNOWN);
        };
    }

    private boolean isFull(long nowNanos) {
        if (size < capacity) {
            return false;
        }
        prune(nowNanos);
        return size >= capacity;
    }

    private void put(String key, ClaimRecord update) {
        Map<String, ClaimRecord> known = claimsByKey.computeIfAbsent(key, name -> new TreeMap<>());
        ClaimRecord before = known.get(update.requestId());
        ClaimRecord after = before == null ? update : before.merge(update);
        if (before != null) {
            subtract(before);
        }
        ClaimRecord kept = fits(after) ? after : withoutAnswer(after);
        known.put(kept.requestId(), kept);
        size++;
        answerBytes += kept.answerBytes();
    }

    private boolean fits(ClaimRecord claim) {
        return claim.answerBytes() <= ClaimLimits.MAX_KEPT_ANSWER_BYTES
                && answerBytes + claim.answerBytes() <= ClaimLimits.MAX_TOTAL_ANSWER_BYTES;
    }

    private static ClaimRecord withoutAnswer(ClaimRecord claim) {
        return new ClaimRecord(
                claim.requestId(),
                claim.digest(),
                claim.status(),
                Optional.empty(),
                claim.overdueNanos(),
                claim.expiryNanos());
    }

    private void subtract(ClaimRecord claim) {
        size--;
        answerBytes -= claim.answerBytes();
    }

    private static long expiryNanos(long nowNanos) {
        return nowNanos + ClaimLimits.WINDOW.toNanos();
    }

    /**
     * A page of a transfer.
     *
     * @param claims the claim records
     * @param last the last key that the page covers
     * @param complete whether this is the last page
     */
    public record Page(List<TransferredClaim> claims, String last, boolean complete) {}
}
