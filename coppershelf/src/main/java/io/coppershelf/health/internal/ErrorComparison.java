package io.coppershelf.health.internal;

import java.util.HashMap;
import java.util.Map;

/** Compares the errors that one server caused with those of its peers, kind by kind. */
public final class ErrorComparison {
    /** The share of errors that counts as usual at least. */
    private static final double LEAST_USUAL_RATE = 0.01;
    /** The share of errors that is to be found at least. */
    private static final double LEAST_SICK_RATE = 0.3;
    /** How much more often than its peers a sick server fails. */
    private static final double SICK_RATIO = 3.0;

    private final Map<String, CumulativeSum> byRoute = new HashMap<>();

    /**
     * Takes in the end of a try.
     *
     * @param route the request kind
     * @param error whether the server caused an error
     * @param rateOfPeers the share of errors of this kind on the server's peers
     * @param observedNanos the observed time
     */
    public void record(String route, boolean error, double rateOfPeers, long observedNanos) {
        double usual = Math.max(LEAST_USUAL_RATE, rateOfPeers);
        double sick = Math.max(LEAST_SICK_RATE, SICK_RATIO * usual);
        if (sick >= 1.0) {
            return;
        }
        double ratio = error ? Math.log(sick / usual) : Math.log((1 - sick) / (1 - usual));
        byRoute.computeIfAbsent(route, absent -> new CumulativeSum()).add(ratio, observedNanos);
    }

    /** Lets old evidence fade. */
    public void decay(long observedNanos) {
        byRoute.values().forEach(sum -> sum.decay(observedNanos));
    }

    /** Forgets all evidence. */
    public void clear() {
        byRoute.clear();
    }

    /** Returns the evidence for errors on the worst kind in nats. */
    public double evidence() {
        return byRoute.values().stream().mapToDouble(CumulativeSum::nats).max().orElse(0);
    }
}
