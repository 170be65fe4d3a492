package io.coppershelf.claim.internal;

import io.coppershelf.backend.BackendResult.Answer;
import io.coppershelf.claim.internal.HolderAnswer.Verdict;
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
    private final TreeMap<String, Map<String, Attempt>> attempts = new TreeMap<>();
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
    public HolderAnswer claim(String key, RequestDigest digest, String attempt, Duration remaining, long nowNanos) {
        Map<String, Attempt> known = attempts.getOrDefault(key, Map.of());
        Optional<HolderAnswer> obstacle = obstacle(known.values(), digest, attempt, nowNanos);
        if (obstacle.isPresent()) {
            return obstacle.get();
        }
        if (known.containsKey(attempt)) {
            boolean running = known.get(attempt).status(nowNanos) == AttemptStatus.RUNNING;
            return HolderAnswer.of(running ? Verdict.ACCEPTED : Verdict.RUNNING);
        }
        if (isFull(nowNanos)) {
            return HolderAnswer.of(Verdict.FULL);
        }
        long overdue = nowNanos + remaining.toNanos() + ClaimLimits.COMPLETION_MARGIN.toNanos();
        put(key, new Attempt(attempt, digest, AttemptStatus.RUNNING, Optional.empty(), overdue, forgetNanos(nowNanos)));
        return HolderAnswer.of(Verdict.ACCEPTED);
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
            AttemptStatus status,
            Optional<Answer> answer,
            long nowNanos) {
        put(key, new Attempt(attempt, digest, status, answer, nowNanos, forgetNanos(nowNanos)));
    }

    /** Takes in what another holder knows. */
    public void merge(TransferredAttempt transferred, long nowNanos) {
        Attempt attempt = transferred.toRecord(nowNanos);
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
        List<TransferredAttempt> page = new ArrayList<>();
        String last = after;
        long bytes = 0;
        for (Map.Entry<String, Map<String, Attempt>> entry :
                attempts.tailMap(after, false).entrySet()) {
            if (page.size() >= ClaimLimits.PAGE_SIZE || bytes >= ClaimLimits.PAGE_BYTES) {
                return new Page(page, last, false);
            }
            last = entry.getKey();
            if (!wanted.test(last)) {
                continue;
            }
            for (Attempt attempt : entry.getValue().values()) {
                page.add(TransferredAttempt.of(last, attempt, nowNanos));
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

    private static Optional<HolderAnswer> obstacle(
            Collection<Attempt> known, RequestDigest digest, String own, long nowNanos) {
        List<Attempt> others = known.stream()
                .filter(attempt -> !attempt.id().equals(own) && !attempt.isExpired(nowNanos))
                .filter(attempt -> attempt.status() != AttemptStatus.NOT_RUN)
                .toList();
        if (others.stream().anyMatch(attempt -> !attempt.digest().equals(digest))) {
            return Optional.of(HolderAnswer.of(Verdict.REUSED));
        }
        return others.stream()
                .max((a, b) -> a.status(nowNanos).compareTo(b.status(nowNanos)))
                .map(attempt -> obstacle(attempt, nowNanos));
    }

    private static HolderAnswer obstacle(Attempt attempt, long nowNanos) {
        return switch (attempt.status(nowNanos)) {
            case RUNNING -> HolderAnswer.of(Verdict.RUNNING);
            case RUN -> new HolderAnswer(Verdict.RUN, attempt.answer());
            default -> HolderAnswer.of(Verdict.UNKNOWN);
        };
    }

    private boolean isFull(long nowNanos) {
        if (size < capacity) {
            return false;
        }
        prune(nowNanos);
        return size >= capacity;
    }

    private void put(String key, Attempt news) {
        Map<String, Attempt> known = attempts.computeIfAbsent(key, name -> new TreeMap<>());
        Attempt before = known.get(news.id());
        Attempt after = before == null ? news : before.merge(news);
        if (before != null) {
            uncount(before);
        }
        Attempt kept = fits(after) ? after : withoutAnswer(after);
        known.put(kept.id(), kept);
        size++;
        answerBytes += kept.answerBytes();
    }

    private boolean fits(Attempt attempt) {
        return attempt.answerBytes() <= ClaimLimits.LARGEST_KEPT_ANSWER
                && answerBytes + attempt.answerBytes() <= ClaimLimits.LARGEST_ANSWER_BYTES;
    }

    private static Attempt withoutAnswer(Attempt attempt) {
        return new Attempt(
                attempt.id(),
                attempt.digest(),
                attempt.status(),
                Optional.empty(),
                attempt.overdueNanos(),
                attempt.forgetNanos());
    }

    private void uncount(Attempt attempt) {
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
    public record Page(List<TransferredAttempt> attempts, String last, boolean complete) {}
}
