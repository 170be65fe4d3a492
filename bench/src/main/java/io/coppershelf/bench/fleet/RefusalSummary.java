package io.coppershelf.bench.fleet;

import io.coppershelf.bench.load.CallResult;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * A summary of the answers that were errors.
 *
 * @param byError the number of answers with each error
 * @param refusalP50Millis the median time until a refusal was received
 * @param refusalP99Millis the 99th percentile of the time until a refusal was received
 */
record RefusalSummary(Map<String, Integer> byError, double refusalP50Millis, double refusalP99Millis) {
    private static final long MAX_RECORDED_NANOS = 120_000_000_000L;
    private static final double NANOS_PER_MILLI = 1e6;

    static RefusalSummary of(List<CallResult> results) {
        Map<String, Integer> byError = new TreeMap<>();
        Histogram refusalLatencies = new Histogram(MAX_RECORDED_NANOS, 3);
        for (CallResult result : results) {
            result.error().ifPresent(error -> byError.merge(error, 1, Integer::sum));
            if (result.isReportedNotRun()) {
                refusalLatencies.recordValue(Math.min(result.latencyNanos(), MAX_RECORDED_NANOS));
            }
        }
        return new RefusalSummary(
                byError,
                refusalLatencies.getValueAtPercentile(50) / NANOS_PER_MILLI,
                refusalLatencies.getValueAtPercentile(99) / NANOS_PER_MILLI);
    }
}
