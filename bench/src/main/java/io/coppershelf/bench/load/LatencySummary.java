package io.coppershelf.bench.load;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * The latencies of a run in milliseconds.
 *
 * @param calls the number of calls
 * @param failed the number of calls without their own complete answer
 * @param p50 the median
 * @param p99 the 99th percentile
 * @param p999 the 99.9th percentile
 */
public record LatencySummary(long calls, long failed, double p50, double p99, double p999) {
    private static final long MAX_RECORDED_NANOS = TimeUnit.MINUTES.toNanos(2);
    private static final double NANOS_PER_MILLI = 1e6;

    /** Returns the summary of the calls that received their own complete answer. */
    public static LatencySummary of(List<CallResult> results) {
        Histogram histogram = new Histogram(MAX_RECORDED_NANOS, 3);
        long failed = 0;
        for (CallResult result : results) {
            if (result.status() == 200 && result.bodyMatches()) {
                histogram.recordValue(Math.min(result.latencyNanos(), MAX_RECORDED_NANOS));
            } else {
                failed++;
            }
        }
        return new LatencySummary(
                results.size(), failed, millis(histogram, 50), millis(histogram, 99), millis(histogram, 99.9));
    }

    private static double millis(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }
}
