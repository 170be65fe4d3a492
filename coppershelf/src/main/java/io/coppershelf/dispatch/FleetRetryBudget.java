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
        usage(service, nowNanos).requests[BUCKETS - 1]++;
    }

    /** Reverts the count of a request that another VM serves and counts instead. */
    public void uncountRequest(String service, long nowNanos) {
        int[] requests = usage(service, nowNanos).requests;
        for (int i = BUCKETS - 1; i >= 0; i--) {
            if (requests[i] > 0) {
                requests[i]--;
                return;
            }
        }
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
        usage(service, nowNanos).retries[BUCKETS - 1]++;
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
        return USED_SHARE * (ratio * sum(usage(service, nowNanos).requests) + fixedPerWindow / Math.max(1, fleetSize));
    }

    /** Returns the number of retries that this VM granted in the last window. */
    int spent(String service, long nowNanos) {
        return sum(usage(service, nowNanos).retries);
    }

    private Usage usage(String service, long nowNanos) {
        Usage usage = usages.computeIfAbsent(service, name -> new Usage(nowNanos));
        usage.slideTo(nowNanos, bucketNanos);
        return usage;
    }

    private static int sum(int[] counts) {
        int sum = 0;
        for (int count : counts) {
            sum += count;
        }
        return sum;
    }

    /** The counts of one service; the last bucket is the current one. */
    private static final class Usage {
        private final int[] requests = new int[BUCKETS];
        private final int[] retries = new int[BUCKETS];
        private long bucketStartNanos;

        Usage(long nowNanos) {
            bucketStartNanos = nowNanos;
        }

        void slideTo(long nowNanos, long bucketNanos) {
            long passed = Math.min(BUCKETS, (nowNanos - bucketStartNanos) / bucketNanos);
            for (long i = 0; i < passed; i++) {
                System.arraycopy(requests, 1, requests, 0, BUCKETS - 1);
                System.arraycopy(retries, 1, retries, 0, BUCKETS - 1);
                requests[BUCKETS - 1] = 0;
                retries[BUCKETS - 1] = 0;
            }
            if (passed > 0) {
                bucketStartNanos = nowNanos - (nowNanos - bucketStartNanos) % bucketNanos;
            }
        }
    }
}
