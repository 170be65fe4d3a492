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
 * The usual service time of each request kind: the median over the servers of the group and over what other owners of
 * the service tell. One slow server does not move a median.
 */
public final class TypicalServiceTimes {
    private static final int LEAST_SAMPLES = 5;
    private static final long HEARD_VALID_NANOS = Duration.ofSeconds(10).toNanos();
    private static final double FIRST_DEVIATION = 0.6;
    private static final double LEAST_DEVIATION = 0.35;
    private static final double LARGEST_DEVIATION = 1.2;
    /** Deviations beyond this many standard deviations count as this many. */
    private static final double DEVIATION_CLIP = 3.0;

    private final Map<String, Map<String, LogAverage>> byRoute = new TreeMap<>();
    private final Map<String, LogAverage> variances = new HashMap<>();
    private final Map<String, Heard> heard = new TreeMap<>();
    private final Map<Lookup, Optional<TypicalServiceTime>> cache = new HashMap<>();

    /** Takes in the service time of an answer of a server that is in service. */
    public void record(String server, String route, long nanos) {
        LogAverage average = byRoute.computeIfAbsent(route, absent -> new TreeMap<>())
                .computeIfAbsent(server, absent -> new LogAverage());
        double logNanos = Math.log(Math.max(1.0, (double) nanos));
        if (average.samples() >= LEAST_SAMPLES) {
            double clip = DEVIATION_CLIP * logDeviation(route);
            double deviation = Math.max(-clip, Math.min(clip, logNanos - average.mean()));
            variances.computeIfAbsent(route, absent -> new LogAverage()).record(deviation * deviation);
        }
        average.record(logNanos);
    }

    /** Takes in what another owner of the service tells, per route in nanoseconds. */
    public void recordReported(String sender, Map<String, Long> usualNanos, long nowNanos) {
        heard.put(sender, new Heard(Map.copyOf(usualNanos), nowNanos));
        cache.clear();
    }

    /** Forgets old figures of other owners, and what was worked out from them. */
    public void expireReported(long nowNanos) {
        heard.values().removeIf(figures -> nowNanos - figures.atNanos > HEARD_VALID_NANOS);
        cache.clear();
    }

    /** Forgets a server that is gone. */
    public void remove(String server) {
        byRoute.values().forEach(averages -> averages.remove(server));
        cache.clear();
    }

    /** Returns the usual time of the kind on all servers, empty if too little is known. */
    public Optional<TypicalServiceTime> typical(String route) {
        return cache.computeIfAbsent(new Lookup(route, ""), this::lookUp);
    }

    /** Returns the usual time of the kind on the server's peers, empty if too little is known. */
    public Optional<TypicalServiceTime> typicalOfPeers(String route, String server) {
        return cache.computeIfAbsent(new Lookup(route, server), this::lookUp);
    }

    /** Returns the group's own medians per route in nanoseconds, to be told to other owners. */
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
        for (Heard figures : heard.values()) {
            Long nanos = figures.usualNanos.get(lookup.route);
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
            if (!server.equals(excluded) && average.samples() >= LEAST_SAMPLES) {
                means.add(average.mean());
            }
        });
        return means;
    }

    private double logDeviation(String route) {
        LogAverage variance = variances.get(route);
        if (variance == null || variance.samples() < LEAST_SAMPLES) {
            return FIRST_DEVIATION;
        }
        return Math.max(LEAST_DEVIATION, Math.min(LARGEST_DEVIATION, Math.sqrt(variance.mean())));
    }

    private static double median(List<Double> values) {
        Collections.sort(values);
        int middle = values.size() / 2;
        return values.size() % 2 == 1 ? values.get(middle) : (values.get(middle - 1) + values.get(middle)) / 2;
    }

    private record Heard(Map<String, Long> usualNanos, long atNanos) {}

    private record Lookup(String route, String excluded) {}
}
