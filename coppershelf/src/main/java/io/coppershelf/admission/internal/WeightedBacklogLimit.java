package io.coppershelf.admission.internal;

import java.time.Duration;

/**
 * The backlog up to which a request is admitted, by its weight against the largest weight seen lately. Under overload
 * the backlog grows beyond the limit of the least weighted kinds and stays there, so that they are refused first
 * (partial buffer sharing).
 *
 * @see <a href="https://doi.org/10.1109/49.76630">Kröner et al., Priority Management in ATM Switching Nodes, 1991</a>
 */
public final class WeightedBacklogLimit {
    private static final double LEAST_SHARE = 0.05;

    private final WindowedMaximum weight = new WindowedMaximum(Duration.ofSeconds(10));
    private final WindowedMaximum slackNanos = new WindowedMaximum(Duration.ofSeconds(10));

    /** Takes in the weight of a request that arrived, and the time that it has. */
    public void recordArrival(int requestWeight, long requestSlackNanos, long nowNanos) {
        weight.record(requestWeight, nowNanos);
        slackNanos.record(requestSlackNanos, nowNanos);
    }

    /** Returns the largest backlog with which a request of the weight is admitted, in nanoseconds of waiting. */
    public double backlogLimitNanos(int requestWeight) {
        double share = (double) requestWeight / Math.max(1, weight.value());
        return Math.max(LEAST_SHARE, share) * AdmissionControl.WAIT_SHARE * (double) slackNanos.value();
    }
}
