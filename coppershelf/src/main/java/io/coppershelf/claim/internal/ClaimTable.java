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
 * The claims that one VM holds: by key, the attempts of the window. Its state is a join of what it was told, so that
 * the order and the repetition of messages make no difference. Not safe for use by several threads.
 */
public final class ClaimTable {
    private final int capacity;
    private final TreeMap<String, Map<String, ClaimRecord>> attempts = new TreeMap<>();
    private int size;
    private long answerBytes;

    /**
     * Returns an empty table.
     *
     * @param capacity the most attempts that it remembers
     */
    public ClaimTable(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Claims the key for an attempt, unless another attempt may have run.
     *
     * @param remaining the time until the deadline of the attempt
     */
    public HolderDecision claim(String key, RequestDigest digest, String attempt, Duration remaining, long nowNanos) {
        Map<String, ClaimRecord> known = attempts.getOrDefault(key, Map.of());
        Optional<HolderDecision> obstacle = obstacle(known.values(), digest, attempt, nowNanos);
        if (obstacle.isPresent()) {
            return obstacle.get();
        }
        if (known.containsKey(attempt)) {
            boolean running = known.get(attempt).status(nowNanos) == ClaimStatus.RUNNING;
            return HolderDecision.of(running ? HolderDecision.Kind.ACCEPTED : HolderDecision.Kind.RUNNING);
        }
        if (isFull(nowNanos)) {
            return HolderDecision.of(HolderDecision.Kind.FULL);
        }
        long overdue = nowNanos + remaining.toNanos() + ClaimLimits.COMPLETION_MARGIN.toNanos();
        put(
                key,
                new ClaimRecord(
                        attempt, digest, ClaimStatus.RUNNING, Optional.empty(), overdue, forgetNanos(nowNanos)));
        return HolderDecision.of(HolderDecision.Kind.ACCEPTED);
    }

    /**
     * Takes in the end of an attempt.
     *
     * @param answer the whole answer if it ran and is to be kept
     */
    public void complete(
            String key,
            RequestDigest digest,
            String attempt,
            ClaimStatus status,
            Optional<Answer> answer,
            long nowNanos) {
        put(key, new ClaimRecord(attempt, digest, status, answer, nowNanos, forgetNanos(nowNanos)));
    }

    /** Takes in what another holder knows. */
    public void merge(TransferredClaim transferred, long nowNanos) {
        ClaimRecord attempt = transferred.toRecord(nowNanos);
        if (!attempt.isExpired(nowNanos)) {
            put(transferred.key(), attempt);
        }
    }

    /**
     * Returns the next attempts for a transfer, in the order of their keys, whole keys at a time.
     *
     * @param after the last key of the page before, empty string for the first page
     * @param wanted which keys to transfer
     */
    public Page page(String after, Predicate<String> wanted, long nowNanos) {
        List<TransferredClaim> page = new ArrayList<>();
        String last = after;
        long bytes = 0;
        for (Map.Entry<String, Map<String, ClaimRecord>> entry :
                attempts.tailMap(after, false).entrySet()) {
            if (page.size() >= ClaimLimits.PAGE_SIZE || bytes >= ClaimLimits.PAGE_BYTES) {
                return new Page(page, last, false);
            }
            last = entry.getKey();
            if (!wanted.test(last)) {
                continue;
            }
            for (ClaimRecord attempt : entry.getValue().values()) {
                page.add(TransferredClaim.of(last, attempt, nowNanos));
                bytes += attempt.answerBytes();
            }
        }
        return new Page(page, last, true);
    }

    /** Forgets the attempts that are older than the window. */
    public void prune(long nowNanos) {
        attempts.values()
                .forEach(known -> known.values().removeIf(attempt -> {
                    if (!attempt.isExpired(nowNanos)) {
                        return false;
                    }
                    uncount(attempt);
                    return true;
                }));
        attempts.values().removeIf(Map::isEmpty);
    }

    /** Returns the number of attempts that are remembered. */
    public int size() {
        return size;
    }

    /** Returns the bytes of the answers that are kept. */
    public long answerBytes() {
        return answerBytes;
    }

    private static Optional<HolderDecision> obstacle(
            Collection<ClaimRecord> known, RequestDigest digest, String own, long nowNanos) {
        List<ClaimRecord> others = known.stream()
                .filter(attempt -> !attempt.id().equals(own) && !attempt.isExpired(nowNanos))
                .filter(attempt -> attempt.status() != ClaimStatus.NOT_RUN)
                .toList();
        if (others.stream().anyMatch(attempt -> !attempt.digest().equals(digest))) {
            return Optional.of(HolderDecision.of(HolderDecision.Kind.REUSED));
        }
        return others.stream()
                .max((a, b) -> a.status(nowNanos).compareTo(b.status(nowNanos)))
                .map(attempt -> obstacle(attempt, nowNanos));
    }

    private static HolderDecision obstacle(ClaimRecord attempt, long nowNanos) {
        return switch (attempt.status(nowNanos)) {
            case RUNNING -> HolderDecision.of(HolderDecision.Kind.RUNNING);
            case RUN -> new HolderDecision(HolderDecision.Kind.RUN, attempt.answer());
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

    private void put(String key, ClaimRecord news) {
        Map<String, ClaimRecord> known = attempts.computeIfAbsent(key, name -> new TreeMap<>());
        ClaimRecord before = known.get(news.id());
        ClaimRecord after = before == null ? news : before.merge(news);
        if (before != null) {
            uncount(before);
        }
        ClaimRecord kept = fits(after) ? after : withoutAnswer(after);
        known.put(kept.id(), kept);
        size++;
        answerBytes += kept.answerBytes();
    }

    private boolean fits(ClaimRecord attempt) {
        return attempt.answerBytes() <= ClaimLimits.LARGEST_KEPT_ANSWER
                && answerBytes + attempt.answerBytes() <= ClaimLimits.LARGEST_ANSWER_BYTES;
    }

    private static ClaimRecord withoutAnswer(ClaimRecord attempt) {
        return new ClaimRecord(
                attempt.id(),
                attempt.digest(),
                attempt.status(),
                Optional.empty(),
                attempt.overdueNanos(),
                attempt.forgetNanos());
    }

    private void uncount(ClaimRecord attempt) {
        size--;
        answerBytes -= attempt.answerBytes();
    }

    private static long forgetNanos(long nowNanos) {
        return nowNanos + ClaimLimits.WINDOW.toNanos();
    }

    /**
     * Part of a transfer.
     *
     * @param attempts the attempts
     * @param last the last key that was looked at
     * @param complete whether nothing follows
     */
    public record Page(List<TransferredClaim> attempts, String last, boolean complete) {}
}
