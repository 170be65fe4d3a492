package io.coppershelf.health.internal;

import java.util.HashMap;
import java.util.Map;

/** Compares the errors that one server caused with those of its peers, for each route. */
public final class ErrorComparison {
    /** The lower bound of the error rate that counts as normal. */
    private static final double MIN_NORMAL_RATE = 0.01;
    /** The lower bound of the error rate that is to be detected. */
    private static final double MIN_UNHEALTHY_RATE = 0.3;
    /** The factor on the peers' error rate at which a server counts as unhealthy. */
    private static final double UNHEALTHY_RATIO = 3.0;

    private final Map<String, CumulativeSum> byRoute = new HashMap<>();

    /**
     * Records the end of an attempt.
     *
     * @param route the route of the attempt
     * @param error whether the server caused an error
     * @param rateOfPeers the error rate of this route on the server's peers
     * @param observedNanos the observed time
     */
    public void record(String route, boolean error, double rateOfPeers, long observedNanos) {
        double normal = Math.max(MIN_NORMAL_RATE, rateOfPeers);
        double unhealthy = Math.max(MIN_UNHEALTHY_RATE, UNHEALTHY_RATIO * normal);
        if (unhealthy >= 1.0) {
            return;
        }
        double ratio = error ? Math.log(unhealthy / normal) : Math.log((1 - unhealthy) / (1 - normal));
        byRoute.computeIfAbsent(route, absent -> new CumulativeSum()).add(ratio, observedNanos);
    }

    /** Lets old evidence decay. */
    public void decay(long observedNanos) {
        byRoute.values().forEach(sum -> sum.decay(observedNanos));
    }

    /** Clears all evidence. */
    public void clear() {
        byRoute.clear();
    }

    /** Returns the evidence for errors on the worst route in nats. */
    public double evidence() {
        return byRoute.values().stream().mapToDouble(CumulativeSum::nats).max().orElse(0);
    }
}
