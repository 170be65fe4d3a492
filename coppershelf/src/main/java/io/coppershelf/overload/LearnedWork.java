package io.coppershelf.overload;

import java.util.HashMap;
import java.util.Map;

/** The typical time that requests of each route occupy a slot of the service, in nanoseconds. Not thread-safe. */
final class LearnedWork {
    /** Weight of a new answer; the averages cover about the last twenty. */
    private static final double SAMPLE_WEIGHT = 0.05;
    /**
     * Weights of shorter and longer answers in the least time. Answers in a time of long queues must not raise it much:
     * a VM that refuses all requests of a route as too late would not learn that they have become faster.
     */
    private static final double FALL_WEIGHT = 0.3;

    private static final double RISE_WEIGHT = 0.01;
    /** Answers from which the least time is used; fewer may all come from a time of long queues. */
    private static final int MIN_SAMPLES = 8;
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
        Mean known = byRoute.get(route);
        return known == null ? ofAll() : known.nanos;
    }

    /** Returns the time within which few requests of the route are answered, 0 if too few were answered yet. */
    double leastOf(String route) {
        Mean known = byRoute.get(route);
        return known == null || known.samples < MIN_SAMPLES ? 0 : known.leastNanos;
    }

    /** Returns the typical work of the requests of all routes. */
    double ofAll() {
        return all.samples == 0 ? UNKNOWN_NANOS : all.nanos;
    }

    private static final class Mean {
        private double nanos;
        private double leastNanos;
        private int samples;

        void add(double sample) {
            samples++;
            leastNanos = samples == 1
                    ? sample
                    : leastNanos + (sample < leastNanos ? FALL_WEIGHT : RISE_WEIGHT) * (sample - leastNanos);
            nanos += Math.max(SAMPLE_WEIGHT, 1.0 / samples) * (sample - nanos);
        }
    }
}
