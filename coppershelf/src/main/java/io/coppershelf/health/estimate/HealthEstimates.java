package io.coppershelf.health.estimate;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The beliefs in all servers that were heard of. One thread observes; any thread reads. */
public final class HealthEstimates {
    private final Map<String, HealthEstimate> beliefs = new ConcurrentHashMap<>();

    /**
     * Takes an observation into account.
     *
     * @param serverKey the server and its incarnation
     * @return whether it is news for the fleet: bad, or good of a server about which little was known
     */
    public boolean observe(String serverKey, Observation observation, long nowNanos) {
        HealthEstimate before = estimate(serverKey, nowNanos);
        beliefs.put(serverKey, before.after(observation, nowNanos));
        return observation.isNegative() || before.isUncertain(nowNanos);
    }

    /** Returns the belief in a server. */
    public HealthEstimate estimate(String serverKey, long nowNanos) {
        HealthEstimate known = beliefs.get(serverKey);
        return known == null ? HealthEstimate.initial(nowNanos) : known;
    }

    /** Forgets all servers but the given ones. */
    public void retain(Set<String> serverKeys) {
        beliefs.keySet().retainAll(serverKeys);
    }
}
