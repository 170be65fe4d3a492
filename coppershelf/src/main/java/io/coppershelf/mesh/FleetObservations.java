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
 * The state of the servers as observed through the requests of all VMs. The control thread modifies it; the traffic
 * thread reads its components.
 *
 * @param estimates the health estimates of the servers
 * @param load the requests that other VMs have in flight at each server
 * @param idleServers the times of the last requests of the servers, which show the idle ones
 */
public record FleetObservations(HealthEstimates estimates, FleetLoad load, IdleServerTracker idleServers) {
    /** Returns an instance without observations. */
    public static FleetObservations create() {
        return new FleetObservations(new HealthEstimates(), new FleetLoad(), new IdleServerTracker());
    }

    /**
     * Records the outcome of a request.
     *
     * @param source the VM that observed it
     * @return whether other VMs need the observation
     */
    boolean observe(String serverKey, Observation observation, String source, StateChangeLog log, long nowNanos) {
        HealthEstimate before = estimates.estimate(serverKey, nowNanos);
        boolean isReportable = estimates.observe(serverKey, observation, nowNanos);
        log.estimateChanged(serverKey, before, estimates.estimate(serverKey, nowNanos), source, observation, nowNanos);
        return isReportable;
    }

    /** Records the numbers of requests that another VM has in flight. */
    void recordLoad(Object vm, MeshMessage.Load report, long nowNanos) {
        int size = Math.min(report.serverCodes().size(), report.inFlight().size());
        for (int i = 0; i < size; i++) {
            long code = report.serverCodes().get(i);
            if (load.recordInFlight(vm, code, report.inFlight().get(i), nowNanos)) {
                idleServers.recordRequest(code, nowNanos);
            }
        }
    }

    /** Removes servers that are not in the list. */
    void retain(ServerList servers) {
        Set<String> keys = servers.all().stream().map(BackendServer::key).collect(Collectors.toSet());
        estimates.retain(keys);
        idleServers.retain(keys.stream().map(FleetLoad::codeOf).collect(Collectors.toSet()));
    }
}
