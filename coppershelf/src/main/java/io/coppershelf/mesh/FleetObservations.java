package io.coppershelf.mesh;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.ServerList;
import io.coppershelf.dispatch.FleetLoad;
import io.coppershelf.dispatch.IdleServerTracker;
import io.coppershelf.health.estimate.HealthEstimate;
import io.coppershelf.health.estimate.HealthEstimates;
import io.coppershelf.health.estimate.Observation;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What this VM knows of servers by the requests of all VMs. The control thread changes it; the traffic thread reads its
 * parts.
 *
 * @param beliefs how likely each server is sick
 * @param load the requests of other VMs under way at each server
 * @param spread which servers had requests of late
 */
public record FleetObservations(HealthEstimates beliefs, FleetLoad load, IdleServerTracker spread) {
    /** Returns an empty one. */
    public static FleetObservations create() {
        return new FleetObservations(new HealthEstimates(), new FleetLoad(), new IdleServerTracker());
    }

    /**
     * Takes the outcome of a request.
     *
     * @param source the VM that saw it
     * @return whether it is news for the fleet
     */
    boolean observe(String serverKey, Observation observation, String source, StateChangeLog log, long nowNanos) {
        HealthEstimate before = beliefs.estimate(serverKey, nowNanos);
        boolean isNews = beliefs.observe(serverKey, observation, nowNanos);
        log.estimateChanged(serverKey, before, beliefs.estimate(serverKey, nowNanos), source, observation, nowNanos);
        return isNews;
    }

    /** Takes what another VM tells of its requests under way. */
    void recordLoad(Object vm, MeshMessage.Load told, long nowNanos) {
        int size = Math.min(told.serverCodes().size(), told.inFlight().size());
        for (int i = 0; i < size; i++) {
            long code = told.serverCodes().get(i);
            if (load.recordInFlight(vm, code, told.inFlight().get(i), nowNanos)) {
                spread.recordRequest(code, nowNanos);
            }
        }
    }

    /** Forgets servers that are not in the list. */
    void retain(ServerList servers) {
        Set<String> keys = servers.all().stream().map(BackendServer::key).collect(Collectors.toSet());
        beliefs.retain(keys);
        spread.retain(keys.stream().map(FleetLoad::codeOf).collect(Collectors.toSet()));
    }
}
