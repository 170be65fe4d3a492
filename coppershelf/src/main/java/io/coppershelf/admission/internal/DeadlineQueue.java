package io.coppershelf.admission.internal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Queued attempts, the earliest deadline first, and in order of arrival for equal deadlines.
 *
 * @see <a href="https://doi.org/10.1145/321738.321743">Liu and Layland, Scheduling Algorithms for Multiprogramming in a
 *     Hard-Real-Time Environment, 1973</a>
 */
public final class DeadlineQueue {
    private final List<QueuedAttempt> attempts = new ArrayList<>();
    private long totalWorkNanos;

    /** Adds an attempt at the position of its deadline. */
    public void add(QueuedAttempt attempt) {
        attempts.add(insertionIndex(attempt.arrival().deadlineNanos()), attempt);
        totalWorkNanos += attempt.expectedNanos();
    }

    /** Returns the index at which an attempt of the given deadline would be added. */
    public int insertionIndex(long deadlineNanos) {
        int low = 0;
        int high = attempts.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (attempts.get(middle).arrival().deadlineNanos() - deadlineNanos <= 0) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    /** Removes and returns the first attempt that the predicate accepts. */
    public Optional<QueuedAttempt> removeFirst(Predicate<QueuedAttempt> predicate) {
        for (int index = 0; index < attempts.size(); index++) {
            if (predicate.test(attempts.get(index))) {
                QueuedAttempt removed = attempts.remove(index);
                totalWorkNanos -= removed.expectedNanos();
                return Optional.of(removed);
            }
        }
        return Optional.empty();
    }

    /** Removes and returns the attempt of the given id. */
    public Optional<QueuedAttempt> remove(String attemptId) {
        return removeFirst(attempt -> attempt.attemptId().equals(attemptId));
    }

    /** Returns the sum of the expected service times of the attempts before the given index. */
    public long workNanos(int end) {
        if (end == attempts.size()) {
            return totalWorkNanos;
        }
        long work = 0;
        for (int index = 0; index < end; index++) {
            work += attempts.get(index).expectedNanos();
        }
        return work;
    }

    /** Returns the attempts in order, as a view. */
    public List<QueuedAttempt> attempts() {
        return Collections.unmodifiableList(attempts);
    }

    /** Returns whether no attempt is queued. */
    public boolean isEmpty() {
        return attempts.isEmpty();
    }

    /** Returns the number of queued attempts. */
    public int size() {
        return attempts.size();
    }
}
