package io.coppershelf.bench.load;

import java.util.List;
import java.util.Map;

/**
 * What callers were told, checked against what the backend servers ran.
 *
 * @param calls the number of calls
 * @param inTimeShare the share of calls answered whole and in time, by the weight of their kind
 * @param executedTwice non-idempotent work that was begun more than once
 * @param notRunYetRun work told as not run that was begun
 * @param answeredYetNotRun work answered that was never begun
 * @param foreignOrPartial answers with status 200 that were not the caller's own whole answer
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
        double weight =
                results.stream().mapToInt(result -> result.route().weight()).sum();
        double inTime = results.stream()
                .filter(CallResult::isInTime)
                .mapToInt(result -> result.route().weight())
                .sum();
        return new ConsistencyReport(
                results.size(),
                weight == 0 ? 1 : inTime / weight,
                results.stream()
                        .filter(result -> !result.route().idempotent() && begun(result, executions) > 1)
                        .count(),
                results.stream()
                        .filter(result -> result.isReportedNotRun() && begun(result, executions) > 0)
                        .count(),
                results.stream()
                        .filter(result -> result.status() == 200 && begun(result, executions) == 0)
                        .count(),
                results.stream()
                        .filter(result -> result.status() == 200 && !result.whole())
                        .count(),
                results.stream().filter(result -> result.status() == 0).count());
    }

    /** Returns whether no promise was broken. */
    public boolean isConsistent() {
        return executedTwice == 0 && notRunYetRun == 0 && answeredYetNotRun == 0 && foreignOrPartial == 0;
    }

    private static int begun(CallResult result, Map<String, Integer> executions) {
        return executions.getOrDefault(result.workId(), 0);
    }
}
