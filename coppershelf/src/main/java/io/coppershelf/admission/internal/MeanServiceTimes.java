package io.coppershelf.admission.internal;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** The measured mean service time of each request kind, as an exponentially weighted moving average. */
public final class MeanServiceTimes {
    private static final long FIRST_GUESS_NANOS = Duration.ofMillis(20).toNanos();
    private static final double SAMPLE_WEIGHT = 0.05;
    private static final double LEAST_RESIDUAL_SHARE = 0.3;

    private final Map<String, Double> meanNanos = new HashMap<>();

    /** Takes in the service time of one answered try. */
    public void record(String route, long nanos) {
        meanNanos.merge(route, (double) nanos, (mean, sample) -> mean + SAMPLE_WEIGHT * (sample - mean));
    }

    /** Returns the mean service time of the kind; the mean over all kinds if it has not been seen. */
    public long meanNanos(String route) {
        Double mean = meanNanos.get(route);
        return (long) (mean != null ? mean : overallMeanNanos());
    }

    /** Returns the expected time left of a try of the kind that has run for the given time. */
    public long residualNanos(String route, long ageNanos) {
        double mean = (double) meanNanos(route);
        return (long) Math.max(mean - (double) ageNanos, LEAST_RESIDUAL_SHARE * mean);
    }

    private double overallMeanNanos() {
        return meanNanos.values().stream()
                .mapToDouble(Double::doubleValue)
                .average()
                .orElse((double) FIRST_GUESS_NANOS);
    }
}
