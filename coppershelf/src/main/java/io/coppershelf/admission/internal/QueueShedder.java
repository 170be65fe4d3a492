package io.coppershelf.admission.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Selects the queued attempts to shed after slots were lost: for each attempt that would miss its deadline, the one
 * with the lowest ratio of weight to service time among it and those before it is shed.
 *
 * @see <a href="https://doi.org/10.1287/mnsc.15.1.102">Moore, An n Job, One Machine Sequencing Algorithm for Minimizing
 *     the Number of Late Jobs, 1968</a>
 */
public final class QueueShedder {
    /**
     * The factor by which the estimated end must exceed the remaining time, so that the error of the estimate alone
     * sheds nothing.
     */
    private static final double TOLERANCE = 1.1;

    private QueueShedder() {}

    /** Returns the attempts to shed. */
    public static List<QueuedAttempt> selectAttempts(DeadlineQueue queue, WaitEstimate estimate, long nowNanos) {
        List<QueuedAttempt> shed = new ArrayList<>();
        if (estimate.slots() == 0) {
            return shed;
        }
        PriorityQueue<QueuedAttempt> kept = new PriorityQueue<>(Comparator.comparingDouble(QueueShedder::value));
        long work = estimate.residualNanos();
        for (QueuedAttempt attempt : queue.attempts()) {
            long end = work / estimate.slots() + attempt.expectedNanos();
            kept.add(attempt);
            work += attempt.expectedNanos();
            if (end > TOLERANCE * attempt.slackNanos(nowNanos)) {
                QueuedAttempt leastValuable = kept.remove();
                shed.add(leastValuable);
                work -= leastValuable.expectedNanos();
            }
        }
        return shed;
    }

    private static double value(QueuedAttempt attempt) {
        return (double) attempt.arrival().weight() / Math.max(1, attempt.expectedNanos());
    }
}
