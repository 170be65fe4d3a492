package io.coppershelf.admission.internal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Waiting tries, the earliest deadline first; those of equal deadlines in the order of their arrival.
 *
 * @see <a href="https://doi.org/10.1145/321738.321743">Liu and Layland, Scheduling Algorithms for Multiprogramming in a
 *     Hard-Real-Time Environment, 1973</a>
 */
public final class DeadlineQueue {
    private final List<QueuedAttempt> tries = new ArrayList<>();
    private long allWorkNanos;

    /** Adds a try at its place. */
    public void add(QueuedAttempt waiting) {
        tries.add(insertionIndex(waiting.request().deadlineNanos()), waiting);
        allWorkNanos += waiting.expectedNanos();
    }

    /** Returns the index at which a try of the given deadline would be added. */
    public int insertionIndex(long deadlineNanos) {
        int low = 0;
        int high = tries.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (tries.get(middle).request().deadlineNanos() - deadlineNanos <= 0) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    /** Removes and returns the first try that the predicate accepts. */
    public Optional<QueuedAttempt> removeFirst(Predicate<QueuedAttempt> predicate) {
        for (int index = 0; index < tries.size(); index++) {
            if (predicate.test(tries.get(index))) {
                QueuedAttempt taken = tries.remove(index);
                allWorkNanos -= taken.expectedNanos();
                return Optional.of(taken);
            }
        }
        return Optional.empty();
    }

    /** Removes and returns the try of the given id. */
    public Optional<QueuedAttempt> remove(String attemptId) {
        return removeFirst(waiting -> waiting.attemptId().equals(attemptId));
    }

    /** Returns the expected service times of the tries before the given place, summed. */
    public long workNanos(int place) {
        if (place == tries.size()) {
            return allWorkNanos;
        }
        long work = 0;
        for (int index = 0; index < place; index++) {
            work += tries.get(index).expectedNanos();
        }
        return work;
    }

    /** Returns the tries in order, as a view. */
    public List<QueuedAttempt> attempts() {
        return Collections.unmodifiableList(tries);
    }

    /** Returns whether no try waits. */
    public boolean isEmpty() {
        return tries.isEmpty();
    }

    /** Returns the number of tries that wait. */
    public int size() {
        return tries.size();
    }
}
