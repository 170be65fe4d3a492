package io.coppershelf.admission.internal;

import java.time.Duration;

/**
 * The share of its time that a request may spend waiting, by its weight against the largest weight seen lately. Under
 * overload the queue grows to the limit of the least weighted kinds and stays there, so that they are refused first
 * (partial buffer sharing).
 *
 * @see <a href="https://doi.org/10.1109/49.76630">Kröner et al., Priority Management in ATM Switching Nodes, 1991</a>
 */
public final class WeightShares {
    private static final long WINDOW_NANOS = Duration.ofSeconds(10).toNanos();
    private static final double LEAST_SHARE = 0.1;
    private static final double LARGEST_SHARE = 0.9;

    private int largest;
    private int largestBefore;
    private long windowNanos;

    /** Takes in the weight of a request that arrived. */
    public void arrived(int weight, long nowNanos) {
        if (nowNanos - windowNanos >= WINDOW_NANOS) {
            largestBefore = largest;
            largest = 0;
            windowNanos = nowNanos;
        }
        largest = Math.max(largest, weight);
    }

    /** Returns the share of its time that a request of the weight may wait. */
    public double share(int weight) {
        double relative = (double) weight / Math.max(1, Math.max(largest, largestBefore));
        return Math.max(LEAST_SHARE, Math.min(LARGEST_SHARE, relative));
    }
}
