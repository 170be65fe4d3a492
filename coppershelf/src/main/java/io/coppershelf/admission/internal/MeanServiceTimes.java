package io.coppershelf.admission.internal;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** The mean service time of each route, as an exponentially weighted moving average. */
public final class MeanServiceTimes {
    private static final long INITIAL_MEAN_NANOS = Duration.ofMillis(20).toNanos();
    private static final double SAMPLE_WEIGHT = 0.05;
    private static final double MIN_RESIDUAL_SHARE = 0.3;

    private final Map<String, Double> meanNanos = new HashMap<>();

    /** Records the service time of one answered attempt. */
    public void record(String route, long nanos) {
        meanNanos.merge(route, (double) nanos, (mean, sample) -> mean + SAMPLE_WEIGHT * (sample - mean));
    }

    /** Returns the mean service time of the route, or the mean over all routes if it has no samples yet. */
    public long meanNanos(String route) {
        Double mean = meanNanos.get(route);
        return (long) (mean != null ? mean : overallMeanNanos());
    }

    /** Returns the expected remaining time of an attempt on the route that has run for the given time. */
    public long residualNanos(String route, long ageNanos) {
        double mean = (double) meanNanos(route);
        return (long) Math.max(mean - (double) ageNanos, MIN_RESIDUAL_SHARE * mean);
    }

    private double overallMeanNanos() {
        return meanNanos.values().stream()
                .mapToDouble(Double::doubleValue)
                .average()
                .orElse((double) INITIAL_MEAN_NANOS);
    }
}
