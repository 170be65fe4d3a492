package io.coppershelf.admission.internal;

import java.time.Duration;

/**
 * The backlog up to which a request is admitted, by the ratio of its weight to the largest recent weight. Under
 * overload the backlog stays above the limit of the requests with the lowest weight, so that they are refused first
 * (partial buffer sharing).
 *
 * @see <a href="https://doi.org/10.1109/49.76630">Kröner et al., Priority Management in ATM Switching Nodes, 1991</a>
 */
public final class WeightedBacklogLimit {
    private static final double MIN_SHARE = 0.05;

    private final WindowedMaximum weight = new WindowedMaximum(Duration.ofSeconds(10));
    private final WindowedMaximum slackNanos = new WindowedMaximum(Duration.ofSeconds(10));

    /** Records the weight of a request that arrived, and the time until its deadline. */
    public void recordArrival(int requestWeight, long requestSlackNanos, long nowNanos) {
        weight.record(requestWeight, nowNanos);
        slackNanos.record(requestSlackNanos, nowNanos);
    }

    /** Returns the largest backlog at which a request of the weight is admitted, in nanoseconds of waiting. */
    public double backlogLimitNanos(int requestWeight) {
        double share = (double) requestWeight / Math.max(1, weight.value());
        return Math.max(MIN_SHARE, share) * AdmissionControl.MAX_WAIT_SHARE * (double) slackNanos.value();
    }
}
