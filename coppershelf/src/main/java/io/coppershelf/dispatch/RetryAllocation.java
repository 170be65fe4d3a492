package io.coppershelf.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Allocates the retry budget of a service by cost: once less than half of it is left, a retry is refused if the retries
 * of greater cost are likely to need the rest. Requests of equal priority share the budget in order of arrival. Not
 * thread-safe.
 */
public final class RetryAllocation {
    /** Share of the budget that is spent in order of arrival. */
    private static final double UNRESERVED_SHARE = 0.5;
    /** Length of the window of the budget and of its buckets. */
    private static final int BUCKETS = 10;

    private static final long BUCKET_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Buckets over which the need for retries is measured; a service that becomes full is noticed within them. */
    private static final int RECENT_BUCKETS = 2;
    /** Requests added to the recent ones, so that one retry among few requests does not reserve the whole budget. */
    private static final double PRIOR_REQUESTS = 3;
    /**
     * Ratio of the recent retries to those of the whole window from which the need rises, and factor for the retries of
     * recent requests that are then still to come.
     */
    private static final double RISE_FACTOR = 2;
    /** Time constant of the rate of each priority; a VM gets a rare kind only every few seconds. */
    private static final double RATE_DECAY_NANOS = TimeUnit.SECONDS.toNanos(60);
    /** Requests in a window below which a priority is forgotten. */
    private static final double MIN_REQUESTS = 0.01;

    private final FleetRetryBudget budget;
    private final boolean isByCost;
    private final Map<String, Service> services = new HashMap<>();

    /**
     * Creates an allocation of the budget.
     *
     * @param isByCost whether costs count; otherwise all requests share the budget in order of arrival
     */
    public RetryAllocation(FleetRetryBudget budget, boolean isByCost) {
        this.budget = budget;
        this.isByCost = isByCost;
    }

    /**
     * Counts a request of a caller.
     *
     * @param rank the urgency of the request, 0 is the most urgent
     */
    public void countRequest(String service, int rank, long nowNanos) {
        budget.countRequest(service, nowNanos);
        service(service, nowNanos).countRequest(rank, nowNanos);
    }

    /** Reverts the count of a request that another VM serves and counts instead. */
    public void uncountRequest(String service, long nowNanos) {
        budget.uncountRequest(service, nowNanos);
    }

    /**
     * Acquires one retry from the budget if it is not needed for retries of greater cost.
     *
     * @param fleetSize the number of VMs that serve callers
     * @return whether the request may be retried
     */
    public boolean tryAcquire(String service, RetryCost cost, int fleetSize, long nowNanos) {
        Service known = service(service, nowNanos);
        boolean isAllowed = canAcquire(service, cost, fleetSize, nowNanos);
        known.count(known.asked, cost, nowNanos);
        if (!isAllowed || !budget.tryAcquire(service, fleetSize, nowNanos)) {
            return false;
        }
        known.count(known.granted, cost, nowNanos);
        return true;
    }

    /**
     * Returns whether a request may be retried, without acquiring the retry.
     *
     * @param fleetSize the number of VMs that serve callers
     */
    public boolean canAcquire(String service, RetryCost cost, int fleetSize, long nowNanos) {
        if (!budget.canAcquire(service, fleetSize, nowNanos)) {
            return false;
        }
        Service known = service(service, nowNanos);
        if (!isByCost || !known.hasSeveralRanks(nowNanos)) {
            return true;
        }
        double limit = budget.limit(service, fleetSize, nowNanos);
        if (budget.spent(service, nowNanos) + 1 <= UNRESERVED_SHARE * limit) {
            return true;
        }
        int granted = known.sum(known.granted.tailMap(cost, true), nowNanos);
        return granted + 1 <= limit - known.reserve(cost, nowNanos);
    }

    private Service service(String name, long nowNanos) {
        return services.computeIfAbsent(name, key -> new Service(nowNanos));
    }

    /** The requests and retries of one service. */
    private static final class Service {
        private final NavigableMap<Integer, Rate> requestsByRank = new TreeMap<>();
        private final NavigableMap<RetryCost, SlidingCount> asked = new TreeMap<>();
        private final NavigableMap<RetryCost, SlidingCount> granted = new TreeMap<>();
        private final SlidingCount requests;
        private final SlidingCount retries;

        Service(long nowNanos) {
            requests = new SlidingCount(BUCKETS, BUCKET_NANOS, nowNanos);
            retries = new SlidingCount(BUCKETS, BUCKET_NANOS, nowNanos);
        }

        void countRequest(int rank, long nowNanos) {
            requests.add(nowNanos);
            requestsByRank.computeIfAbsent(rank, key -> new Rate(nowNanos)).add(nowNanos);
        }

        void count(Map<RetryCost, SlidingCount> counts, RetryCost cost, long nowNanos) {
            counts.computeIfAbsent(cost, key -> new SlidingCount(BUCKETS, BUCKET_NANOS, nowNanos))
                    .add(nowNanos);
            if (counts == asked) {
                retries.add(nowNanos);
            }
        }

        boolean hasSeveralRanks(long nowNanos) {
            requestsByRank.values().removeIf(rate -> rate.perWindow(nowNanos) < MIN_REQUESTS);
            return requestsByRank.size() > 1;
        }

        int sum(Map<RetryCost, SlidingCount> counts, long nowNanos) {
            return counts.values().stream()
                    .mapToInt(count -> count.sum(nowNanos))
                    .sum();
        }

        /**
         * Returns the retries of greater cost that are likely in a window: as many as were asked for in the last one,
         * or as the requests of higher priority need if they are refused as often as all were recently. One standard
         * deviation is added, as a VM grants only a few.
         */
        double reserve(RetryCost cost, long nowNanos) {
            double urgentRequests = requestsByRank.headMap(cost.rank(), false).values().stream()
                    .mapToDouble(rate -> rate.perWindow(nowNanos))
                    .sum();
            double recent =
                    retries.sum(RECENT_BUCKETS, nowNanos) / (requests.sum(RECENT_BUCKETS, nowNanos) + PRIOR_REQUESTS);
            boolean isRising = retries.sum(RECENT_BUCKETS, nowNanos) * BUCKETS
                    > RISE_FACTOR * RECENT_BUCKETS * retries.sum(nowNanos);
            double retriesPerRequest = isRising ? Math.max(recent, Math.min(1, RISE_FACTOR * recent)) : recent;
            double expected = Math.max(sum(asked.headMap(cost, false), nowNanos), urgentRequests * retriesPerRequest);
            return Math.ceil(expected + Math.sqrt(expected));
        }
    }

    /** A rate that is averaged over about a minute. */
    private static final class Rate {
        private double count;
        private long countedNanos;
        private final long sinceNanos;

        Rate(long nowNanos) {
            sinceNanos = nowNanos;
            countedNanos = nowNanos;
        }

        void add(long nowNanos) {
            count = decayed(nowNanos) + 1;
            countedNanos = nowNanos;
        }

        double perWindow(long nowNanos) {
            double windowNanos = (double) BUCKETS * BUCKET_NANOS;
            // The sum of the weights since the first request; at least a window, as a rate needs some time to show.
            double weight = RATE_DECAY_NANOS * (1 - Math.exp(-(nowNanos - sinceNanos) / RATE_DECAY_NANOS));
            return decayed(nowNanos) * windowNanos / Math.max(windowNanos, weight);
        }

        private double decayed(long nowNanos) {
            return count * Math.exp(-(nowNanos - countedNanos) / RATE_DECAY_NANOS);
        }
    }
}
