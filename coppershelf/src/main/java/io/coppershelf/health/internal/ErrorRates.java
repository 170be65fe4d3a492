package io.coppershelf.health.internal;

import java.util.HashMap;
import java.util.Map;

/** The rate of errors that each server caused, per route, as moving averages. */
public final class ErrorRates {
    private static final double SAMPLE_WEIGHT = 0.1;

    private final Map<String, Map<String, Double>> byRoute = new HashMap<>();

    /** Records the end of an attempt. */
    public void record(String server, String route, boolean error) {
        double sample = error ? 1.0 : 0.0;
        byRoute.computeIfAbsent(route, absent -> new HashMap<>())
                .merge(server, SAMPLE_WEIGHT * sample, (rate, first) -> rate + SAMPLE_WEIGHT * (sample - rate));
    }

    /** Returns the mean error rate of the route on the server's peers in the group, 0 without peers. */
    public double rateOfPeers(String route, String server) {
        return byRoute.getOrDefault(route, Map.of()).entrySet().stream()
                .filter(entry -> !entry.getKey().equals(server))
                .mapToDouble(Map.Entry::getValue)
                .average()
                .orElse(0);
    }

    /** Removes a server that has left the group. */
    public void remove(String server) {
        byRoute.values().forEach(rates -> rates.remove(server));
    }
}
