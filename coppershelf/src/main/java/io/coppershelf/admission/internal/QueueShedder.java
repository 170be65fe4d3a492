package io.coppershelf.admission.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Finds the waiting tries that are to be given up after slots were lost: where a try would miss its deadline, the one
 * of the least weight for its service time among it and those before it goes.
 *
 * @see <a href="https://doi.org/10.1287/mnsc.15.1.102">Moore, An n Job, One Machine Sequencing Algorithm for Minimizing
 *     the Number of Late Jobs, 1968</a>
 */
public final class QueueShedder {
    /** How far the estimate must be over the time left, so that its error refuses nothing. */
    private static final double TOLERANCE = 1.1;

    private QueueShedder() {}

    /** Returns the tries to be given up. */
    public static List<QueuedAttempt> selectAttempts(DeadlineQueue queue, WaitEstimate estimate, long nowNanos) {
        List<QueuedAttempt> hopeless = new ArrayList<>();
        if (estimate.slots() == 0) {
            return hopeless;
        }
        PriorityQueue<QueuedAttempt> kept = new PriorityQueue<>(Comparator.comparingDouble(QueueShedder::value));
        long work = estimate.residualNanos();
        for (QueuedAttempt waiting : queue.attempts()) {
            long end = work / estimate.slots() + waiting.expectedNanos();
            kept.add(waiting);
            work += waiting.expectedNanos();
            if (end > TOLERANCE * waiting.slackNanos(nowNanos)) {
                QueuedAttempt dropped = kept.remove();
                hopeless.add(dropped);
                work -= dropped.expectedNanos();
            }
        }
        return hopeless;
    }

    private static double value(QueuedAttempt waiting) {
        return (double) waiting.request().weight() / Math.max(1, waiting.expectedNanos());
    }
}
