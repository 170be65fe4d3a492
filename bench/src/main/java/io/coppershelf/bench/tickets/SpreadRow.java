package io.coppershelf.bench.tickets;

import java.util.Arrays;
import java.util.Locale;

/**
 * The times that tickets took to come into force on the daemons, under one fault.
 *
 * @param name the fault
 * @param tickets the number of tickets published
 * @param expected the number of times if every ticket had come into force on every daemon
 * @param millis the time in milliseconds for each ticket and each daemon on which it came into force
 */
record SpreadRow(String name, int tickets, int expected, long[] millis) {
    static final String HEADER = String.format(
            Locale.ROOT, "%-40s %8s %9s %9s %9s %9s", "fault", "tickets", "median ms", "p95 ms", "worst ms", "missing");
    private static final double MEDIAN = 0.5;
    private static final double P95 = 0.95;

    String toText() {
        return String.format(
                Locale.ROOT,
                "%-40s %8d %9d %9d %9d %9d",
                name,
                tickets,
                quantile(MEDIAN),
                quantile(P95),
                quantile(1),
                missing());
    }

    String toJson() {
        return String.format(
                Locale.ROOT,
                "{\"bench\":\"tickets\",\"fault\":\"%s\",\"tickets\":%d,\"medianMillis\":%d,\"p95Millis\":%d,"
                        + "\"worstMillis\":%d,\"missing\":%d}",
                name,
                tickets,
                quantile(MEDIAN),
                quantile(P95),
                quantile(1),
                missing());
    }

    int missing() {
        return expected - millis.length;
    }

    private long quantile(double fraction) {
        if (millis.length == 0) {
            return -1;
        }
        long[] sorted = millis.clone();
        Arrays.sort(sorted);
        return sorted[(int) Math.ceil(fraction * sorted.length) - 1];
    }
}
