package io.coppershelf.health.internal;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The typical service time of each route: the median over the servers of the group and the values that other owners of
 * the service report. One slow server does not move a median.
 */
public final class TypicalServiceTimes {
    private static final int MIN_SAMPLES = 5;
    private static final long REPORT_VALID_NANOS = Duration.ofSeconds(10).toNanos();
    private static final double INITIAL_DEVIATION = 0.6;
    private static final double MIN_DEVIATION = 0.35;
    private static final double MAX_DEVIATION = 1.2;
    /** Deviations beyond this many standard deviations count as this many. */
    private static final double MAX_STANDARD_DEVIATIONS = 3.0;

    private final Map<String, Map<String, LogAverage>> byRoute = new TreeMap<>();
    private final Map<String, LogAverage> variances = new HashMap<>();
    private final Map<String, Report> reports = new TreeMap<>();
    private final Map<Lookup, Optional<TypicalServiceTime>> cache = new HashMap<>();

    /** Records the service time of an answer of a server that is in service. */
    public void record(String server, String route, long nanos) {
        LogAverage average = byRoute.computeIfAbsent(route, absent -> new TreeMap<>())
                .computeIfAbsent(server, absent -> new LogAverage());
        double logNanos = Math.log(Math.max(1.0, (double) nanos));
        if (average.samples() >= MIN_SAMPLES) {
            double clip = MAX_STANDARD_DEVIATIONS * logDeviation(route);
            double deviation = Math.max(-clip, Math.min(clip, logNanos - average.mean()));
            variances.computeIfAbsent(route, absent -> new LogAverage()).record(deviation * deviation);
        }
        average.record(logNanos);
    }

    /** Records the typical times that another owner of the service reports, per route in nanoseconds. */
    public void recordReported(String sender, Map<String, Long> typicalNanos, long nowNanos) {
        reports.put(sender, new Report(Map.copyOf(typicalNanos), nowNanos));
        cache.clear();
    }

    /** Expires old reports of other owners, and the values computed from them. */
    public void expireReported(long nowNanos) {
        reports.values().removeIf(report -> nowNanos - report.receivedNanos > REPORT_VALID_NANOS);
        cache.clear();
    }

    /** Removes a server that has left the group. */
    public void remove(String server) {
        byRoute.values().forEach(averages -> averages.remove(server));
        cache.clear();
    }

    /** Returns the typical time of the route over all servers, empty if there are too few samples. */
    public Optional<TypicalServiceTime> typical(String route) {
        return cache.computeIfAbsent(new Lookup(route, ""), this::lookUp);
    }

    /** Returns the typical time of the route over the server's peers, empty if there are too few samples. */
    public Optional<TypicalServiceTime> typicalOfPeers(String route, String server) {
        return cache.computeIfAbsent(new Lookup(route, server), this::lookUp);
    }

    /** Returns the group's own medians per route in nanoseconds, to be sent to other owners. */
    public Map<String, Long> ownMedians() {
        Map<String, Long> medians = new TreeMap<>();
        byRoute.forEach((route, averages) -> {
            List<Double> means = ownMeans(averages, "");
            if (!means.isEmpty()) {
                medians.put(route, Math.round(Math.exp(median(means))));
            }
        });
        return medians;
    }

    private Optional<TypicalServiceTime> lookUp(Lookup lookup) {
        List<Double> means = new ArrayList<>(ownMeans(byRoute.getOrDefault(lookup.route, Map.of()), lookup.excluded));
        for (Report report : reports.values()) {
            Long nanos = report.typicalNanos.get(lookup.route);
            if (nanos != null) {
                means.add(Math.log(Math.max(1.0, (double) nanos)));
            }
        }
        if (means.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new TypicalServiceTime(median(means), logDeviation(lookup.route)));
    }

    private static List<Double> ownMeans(Map<String, LogAverage> averages, String excluded) {
        List<Double> means = new ArrayList<>();
        averages.forEach((server, average) -> {
            if (!server.equals(excluded) && average.samples() >= MIN_SAMPLES) {
                means.add(average.mean());
            }
        });
        return means;
    }

    private double logDeviation(String route) {
        LogAverage variance = variances.get(route);
        if (variance == null || variance.samples() < MIN_SAMPLES) {
            return INITIAL_DEVIATION;
        }
        return Math.max(MIN_DEVIATION, Math.min(MAX_DEVIATION, Math.sqrt(variance.mean())));
    }

    private static double median(List<Double> values) {
        Collections.sort(values);
        int middle = values.size() / 2;
        return values.size() % 2 == 1 ? values.get(middle) : (values.get(middle - 1) + values.get(middle)) / 2;
    }

    private record Report(Map<String, Long> typicalNanos, long receivedNanos) {}

    private record Lookup(String route, String excluded) {}
}
