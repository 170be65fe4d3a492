package io.coppershelf.dispatch;

import java.util.Comparator;

/**
 * What it costs a caller if a retry is refused; the greatest cost comes first in the order.
 *
 * @param rank the urgency of the request, 0 is the most urgent
 * @param canComeBack whether the request has not run and its caller has the time to send it again by itself
 */
public record RetryCost(int rank, boolean canComeBack) implements Comparable<RetryCost> {
    /** Typical latencies that a caller needs to come back by itself: for its wait, an answer and another refusal. */
    private static final int COME_BACK_LATENCIES = 3;

    private static final Comparator<RetryCost> ORDER =
            Comparator.comparingInt(RetryCost::rank).thenComparing(RetryCost::canComeBack);

    /**
     * Returns the cost of a retry.
     *
     * @param isProvedNotRun whether the request has not run
     * @param remainingNanos the time until the deadline of the caller
     * @param typicalNanos the typical latency of the request
     */
    public static RetryCost of(int rank, boolean isProvedNotRun, long remainingNanos, long typicalNanos) {
        long neededNanos =
                Math.max(COME_BACK_LATENCIES * typicalNanos, RequestPlan.SHORT_RETRY_AFTER.toNanos() + typicalNanos);
        return new RetryCost(rank, isProvedNotRun && remainingNanos > neededNanos);
    }

    @Override
    public int compareTo(RetryCost other) {
        return ORDER.compare(this, other);
    }
}
