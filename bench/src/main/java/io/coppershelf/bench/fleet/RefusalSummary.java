package io.coppershelf.bench.fleet;

import io.coppershelf.bench.load.CallResult;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * The answers that were errors.
 *
 * @param byError the number of each error
 * @param refusalP50Millis the median time to a refusal
 * @param refusalP99Millis the time within which 99 in 100 refusals went out
 */
record RefusalSummary(Map<String, Integer> byError, double refusalP50Millis, double refusalP99Millis) {
    private static final long HIGHEST_NANOS = 120_000_000_000L;
    private static final double NANOS_PER_MILLI = 1e6;

    static RefusalSummary of(List<CallResult> results) {
        Map<String, Integer> byError = new TreeMap<>();
        Histogram refusals = new Histogram(HIGHEST_NANOS, 3);
        for (CallResult result : results) {
            result.error().ifPresent(error -> byError.merge(error, 1, Integer::sum));
            if (result.isReportedNotRun()) {
                refusals.recordValue(Math.min(result.latencyNanos(), HIGHEST_NANOS));
            }
        }
        return new RefusalSummary(
                byError,
                refusals.getValueAtPercentile(50) / NANOS_PER_MILLI,
                refusals.getValueAtPercentile(99) / NANOS_PER_MILLI);
    }
}
