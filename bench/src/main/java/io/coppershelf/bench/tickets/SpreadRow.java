package io.coppershelf.bench.tickets;

import java.util.Arrays;
import java.util.Locale;

/**
 * The times that tickets took to come into force, under one fault.
 *
 * @param name the fault
 * @param tickets the number of tickets published
 * @param expected the number of times that a ticket should have come into force on a daemon
 * @param millis the time of each ticket on each daemon on which it came into force
 */
record SpreadRow(String name, int tickets, int expected, long[] millis) {
    static final String HEADER = String.format(
            Locale.ROOT, "%-40s %8s %9s %9s %9s %9s", "fault", "tickets", "median ms", "p95 ms", "worst ms", "missing");
    private static final double MEDIAN = 0.5;
    private static final double NINETY_FIVE = 0.95;

    String toText() {
        return String.format(
                Locale.ROOT,
                "%-40s %8d %9d %9d %9d %9d",
                name,
                tickets,
                quantile(MEDIAN),
                quantile(NINETY_FIVE),
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
                quantile(NINETY_FIVE),
                quantile(1),
                missing());
    }

    int missing() {
        return expected - millis.length;
    }

    private long quantile(double part) {
        if (millis.length == 0) {
            return -1;
        }
        long[] sorted = millis.clone();
        Arrays.sort(sorted);
        return sorted[(int) Math.ceil(part * sorted.length) - 1];
    }
}
