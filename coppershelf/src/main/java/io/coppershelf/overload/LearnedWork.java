package io.coppershelf.overload;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The typical time that requests of each route occupy a slot of the service, in nanoseconds. Not thread-safe. */
final class LearnedWork {
    /** Weight of a new answer; the averages cover about the last twenty. */
    private static final double SAMPLE_WEIGHT = 0.05;
    /** Largest number of routes; beyond it all are learned anew. */
    private static final int MAX_ROUTES = 4096;
    /** Work of a request of which nothing is known, 0.3 s. */
    private static final double UNKNOWN_NANOS = 3e8;

    private final Map<String, Mean> byRoute = new HashMap<>();
    private final Mean all = new Mean();

    /** Records the time that a server needed, without the wait in its queue as far as known. */
    void record(String route, double nanos) {
        if (byRoute.size() >= MAX_ROUTES && !byRoute.containsKey(route)) {
            byRoute.clear();
        }
        byRoute.computeIfAbsent(route, name -> new Mean()).add(nanos);
        all.add(nanos);
    }

    /** Returns the typical work of a request of the route. */
    double of(String route) {
        return known(route).orElse(ofAll());
    }

    /** Returns the typical work of a request of the route, empty if none was answered yet. */
    Optional<Double> known(String route) {
        return Optional.ofNullable(byRoute.get(route)).map(mean -> mean.nanos);
    }

    /** Returns the typical work of the requests of all routes. */
    double ofAll() {
        return all.samples == 0 ? UNKNOWN_NANOS : all.nanos;
    }

    private static final class Mean {
        private double nanos;
        private int samples;

        void add(double sample) {
            samples++;
            nanos += Math.max(SAMPLE_WEIGHT, 1.0 / samples) * (sample - nanos);
        }
    }
}
