package io.coppershelf.mesh;

import io.coppershelf.catalog.UsageCap;
import io.coppershelf.quota.Refusal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** The requests that reached servers or were refused in a simulated fleet. */
final class QuotaTally {
    private static final long WINDOW = 5 * SimulatedQuotaFleet.SECOND;
    private final Map<String, List<Long>> sent = new HashMap<>();
    private final List<Request> arrived = new ArrayList<>();
    private final List<Request> refused = new ArrayList<>();
    private int refusedWithoutAnswer;
    private long longestWait;

    /** A request of a caller. */
    record Request(String tenant, int vm, long atNanos) {}

    void arrived(Request request) {
        arrived.add(request);
    }

    void sent(Request request, long now) {
        sent.computeIfAbsent(request.tenant(), tenant -> new ArrayList<>()).add(now);
        longestWait = Math.max(longestWait, now - request.atNanos());
    }

    void refused(Request request, Refusal refusal, long now) {
        refused.add(request);
        refusedWithoutAnswer += refusal.isOverCap() ? 0 : 1;
        longestWait = Math.max(longestWait, now - request.atNanos());
    }

    /** Returns the share of the requests that were refused, among those for which the predicate holds. */
    double refusedShare(Predicate<Request> predicate) {
        long all = arrived.stream().filter(predicate).count();
        return refused.stream().filter(predicate).count() / (double) Math.max(1, all);
    }

    int refusedWithoutAnswer() {
        return refusedWithoutAnswer;
    }

    double longestWaitMillis() {
        return longestWait / 1e6;
    }

    /**
     * Returns the largest number of requests of the tenant in a window, divided by the limit, in windows from a time.
     */
    double largestWindow(String tenant, UsageCap cap, long fromNanos) {
        double limit = (cap.perSecond() * 5 + cap.burst()) * 1.25 + 20;
        List<Long> times = sent.getOrDefault(tenant, List.of()).stream()
                .filter(time -> time >= fromNanos)
                .toList();
        int largest = 0;
        int first = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) >= WINDOW) {
                first++;
            }
            largest = Math.max(largest, last - first + 1);
        }
        return largest / limit;
    }
}
