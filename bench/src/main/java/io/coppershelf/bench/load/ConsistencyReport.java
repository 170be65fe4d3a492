package io.coppershelf.bench.load;

import java.util.List;
import java.util.Map;

/**
 * The outcomes that callers received, checked against the work that the backend servers ran.
 *
 * @param calls the number of calls
 * @param inTimeShare the share of calls answered completely and in time, by the weight of their request kind
 * @param executedTwice calls whose non-idempotent work was started more than once
 * @param notRunYetRun calls reported as not run whose work was started
 * @param answeredYetNotRun calls answered with status 200 whose work was never started
 * @param foreignOrPartial calls answered with status 200 but not with the caller's own complete answer
 * @param unanswered calls without any answer
 */
public record ConsistencyReport(
        int calls,
        double inTimeShare,
        long executedTwice,
        long notRunYetRun,
        long answeredYetNotRun,
        long foreignOrPartial,
        long unanswered) {
    /** Returns the report over the results of a run. */
    public static ConsistencyReport of(List<CallResult> results, Map<String, Integer> executions) {
        double totalWeight =
                results.stream().mapToInt(result -> result.route().weight()).sum();
        double inTimeWeight = results.stream()
                .filter(CallResult::isInTime)
                .mapToInt(result -> result.route().weight())
                .sum();
        return new ConsistencyReport(
                results.size(),
                totalWeight == 0 ? 1 : inTimeWeight / totalWeight,
                results.stream()
                        .filter(result -> !result.route().idempotent() && executionCount(result, executions) > 1)
                        .count(),
                results.stream()
                        .filter(result -> result.isReportedNotRun() && executionCount(result, executions) > 0)
                        .count(),
                results.stream()
                        .filter(result -> result.status() == 200 && executionCount(result, executions) == 0)
                        .count(),
                results.stream()
                        .filter(result -> result.status() == 200 && !result.bodyMatches())
                        .count(),
                results.stream().filter(result -> result.status() == 0).count());
    }

    /** Returns whether no promise was broken. */
    public boolean isConsistent() {
        return executedTwice == 0 && notRunYetRun == 0 && answeredYetNotRun == 0 && foreignOrPartial == 0;
    }

    private static int executionCount(CallResult result, Map<String, Integer> executions) {
        return executions.getOrDefault(result.workId(), 0);
    }
}
