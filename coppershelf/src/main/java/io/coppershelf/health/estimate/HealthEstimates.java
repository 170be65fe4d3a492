package io.coppershelf.health.estimate;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The health estimates of all servers with observations. One thread writes; any thread reads. */
public final class HealthEstimates {
    private final Map<String, HealthEstimate> estimates = new ConcurrentHashMap<>();

    /**
     * Updates the estimate of a server with an observation.
     *
     * @param serverKey the server and its incarnation
     * @return whether other VMs need the observation: it is negative, or the estimate of the server was uncertain
     */
    public boolean observe(String serverKey, Observation observation, long nowNanos) {
        HealthEstimate before = estimate(serverKey, nowNanos);
        estimates.put(serverKey, before.after(observation, nowNanos));
        return observation.isNegative() || before.isUncertain(nowNanos);
    }

    /** Replaces the estimate of a server by one that other VMs made from more observations. */
    public void adopt(String serverKey, double unhealthyProbability, long nowNanos) {
        estimates.put(serverKey, estimate(serverKey, nowNanos).adopting(unhealthyProbability, nowNanos));
    }

    /** Returns the estimate of a server, the initial one if the server has no observations. */
    public HealthEstimate estimate(String serverKey, long nowNanos) {
        HealthEstimate known = estimates.get(serverKey);
        return known == null ? HealthEstimate.initial(nowNanos) : known;
    }

    /** Returns whether there is an observation of a server. */
    public boolean isObserved(String serverKey) {
        return estimates.containsKey(serverKey);
    }

    /** Removes all servers but the given ones. */
    public void retain(Set<String> serverKeys) {
        estimates.keySet().retainAll(serverKeys);
    }
}
