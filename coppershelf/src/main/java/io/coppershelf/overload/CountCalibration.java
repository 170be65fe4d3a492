package io.coppershelf.overload;

/**
 * The ratio of the true loads of servers to the counted ones. Starts are reported within 5 ms and ends within 250 ms in
 * a large fleet, so that counts are too high where requests are short; they are too low where messages are lost. Each
 * answer states the true load of its server. Not thread-safe.
 */
final class CountCalibration {
    /** Share of the past that a new answer replaces; the ratio covers about the last forty answers. */
    private static final double WEIGHT = 0.025;
    /** Requests that always count with the ratio one, so that a few answers decide little. */
    private static final double PRIOR = 10;
    /** Bounds of the ratio; a larger error means that the counts are not usable, and answers decide. */
    private static final double MIN_RATIO = 0.3;

    private static final double MAX_RATIO = 3;

    private double stated;
    private double counted;

    /**
     * Records the load that a server states, and that which was counted at this time, both with the answered request.
     */
    void record(int statedLoad, int countedLoad) {
        stated += statedLoad - WEIGHT * stated;
        counted += countedLoad - WEIGHT * counted;
    }

    /** Returns the factor by which counts are to be multiplied. */
    double ratio() {
        return Math.max(MIN_RATIO, Math.min(MAX_RATIO, (stated + PRIOR) / (counted + PRIOR)));
    }
}
