package io.coppershelf.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the retries for each service to this VM's share of a limit for the whole fleet: the ratio applies to the
 * requests that this VM received itself, and the fixed part is divided by the number of VMs. The shares add up to less
 * than the limit of the fleet, even while the VMs' views of the membership differ somewhat. Not thread-safe.
 */
public final class FleetRetryBudget {
    /** Share of the fleet's limit that is used; the rest covers VMs that see fewer peers than there are. */
    private static final double USED_SHARE = 0.8;
    /** Number of buckets of a window; the window slides by one bucket at a time. */
    private static final int BUCKETS = 10;

    private final double ratio;
    private final double fixedPerWindow;
    private final long bucketNanos;
    private final Map<String, Usage> usages = new HashMap<>();

    /**
     * Creates an unused budget.
     *
     * @param ratio retries for each request
     * @param fixedPerWindow additional retries of the whole fleet in each window
     * @param window the length of the window
     */
    public FleetRetryBudget(double ratio, double fixedPerWindow, Duration window) {
        this.ratio = ratio;
        this.fixedPerWindow = fixedPerWindow;
        bucketNanos = window.toNanos() / BUCKETS;
    }

    /** Counts a request of a caller. */
    public void countRequest(String service, long nowNanos) {
        usage(service, nowNanos).requests.add(nowNanos);
    }

    /** Reverts the count of a request that another VM serves and counts instead. */
    public void uncountRequest(String service, long nowNanos) {
        usage(service, nowNanos).requests.removeLatest(nowNanos);
    }

    /**
     * Acquires one retry from the budget if any is left.
     *
     * @param fleetSize the number of VMs that serve callers
     * @return whether the request may be retried
     */
    public boolean tryAcquire(String service, int fleetSize, long nowNanos) {
        if (!canAcquire(service, fleetSize, nowNanos)) {
            return false;
        }
        usage(service, nowNanos).retries.add(nowNanos);
        return true;
    }

    /**
     * Returns whether a request may be retried, without acquiring the retry.
     *
     * @param fleetSize the number of VMs that serve callers
     */
    public boolean canAcquire(String service, int fleetSize, long nowNanos) {
        return spent(service, nowNanos) + 1 <= limit(service, fleetSize, nowNanos);
    }

    /** Returns the number of retries that this VM may grant in a window. */
    double limit(String service, int fleetSize, long nowNanos) {
        int requests = usage(service, nowNanos).requests.sum(nowNanos);
        return USED_SHARE * (ratio * requests + fixedPerWindow / Math.max(1, fleetSize));
    }

    /** Returns the number of retries that this VM granted in the last window. */
    int spent(String service, long nowNanos) {
        return usage(service, nowNanos).retries.sum(nowNanos);
    }

    private Usage usage(String service, long nowNanos) {
        return usages.computeIfAbsent(
                service,
                name -> new Usage(
                        new SlidingCount(BUCKETS, bucketNanos, nowNanos),
                        new SlidingCount(BUCKETS, bucketNanos, nowNanos)));
    }

    /** The counts of one service. */
    private record Usage(SlidingCount requests, SlidingCount retries) {}
}
