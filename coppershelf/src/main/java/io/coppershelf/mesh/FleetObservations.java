package io.coppershelf.mesh;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.ServerList;
import io.coppershelf.dispatch.FleetLoad;
import io.coppershelf.dispatch.IdleServerTracker;
import io.coppershelf.dispatch.ServerLimits;
import io.coppershelf.health.estimate.HealthEstimate;
import io.coppershelf.health.estimate.HealthEstimates;
import io.coppershelf.health.estimate.Observation;
import io.coppershelf.poison.CrashRecords;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The state of the servers as observed through the requests of all VMs. The control thread modifies it; the traffic
 * thread reads its components.
 *
 * @param estimates the health estimates of the servers
 * @param load the requests that other VMs have in flight at each server
 * @param idleServers the times of the last requests of the servers, which show the idle ones
 * @param limits the limits that the servers name
 * @param crashes the requests under which servers crashed
 * @param keysByCode the keys of the servers by the hashes that identify them in messages
 */
public record FleetObservations(
        HealthEstimates estimates,
        FleetLoad load,
        IdleServerTracker idleServers,
        ServerLimits limits,
        CrashRecords crashes,
        Map<Long, String> keysByCode) {
    private static final double PER_MILLE = 1000;

    /** Returns an instance without observations. */
    public static FleetObservations create() {
        return new FleetObservations(
                new HealthEstimates(),
                new FleetLoad(),
                new IdleServerTracker(),
                new ServerLimits(),
                new CrashRecords(),
                new HashMap<>());
    }

    /**
     * Records the outcome of a request.
     *
     * @param source the VM that observed it
     * @return whether other VMs need the observation
     */
    boolean observe(String serverKey, Observation observation, Object source, StateChangeLog log, long nowNanos) {
        HealthEstimate before = estimates.estimate(serverKey, nowNanos);
        boolean isReportable = estimates.observe(serverKey, observation, nowNanos);
        log.estimateChanged(serverKey, before, estimates.estimate(serverKey, nowNanos), source, observation, nowNanos);
        return isReportable;
    }

    /** Records the numbers of requests that another VM has in flight. */
    void recordLoad(Object vm, MeshMessage.ServerReport report, long nowNanos) {
        int size = Math.min(report.serverCodes().size(), report.inFlight().size());
        for (int i = 0; i < size; i++) {
            long code = report.serverCodes().get(i);
            if (load.recordInFlight(vm, code, report.inFlight().get(i), nowNanos)) {
                idleServers.recordRequest(code, nowNanos);
            }
        }
    }

    /** Records the summary of a VM of another data centre, which knows more of these servers than this one. */
    void recordSummary(MeshMessage.ServerSummary summary, long nowNanos) {
        int size = Math.min(summary.serverCodes().size(), summary.inFlight().size());
        size = Math.min(size, summary.unhealthyPerMille().size());
        for (int i = 0; i < size; i++) {
            long code = summary.serverCodes().get(i);
            load.recordSummary(code, summary.inFlight().get(i), nowNanos);
            String key = keysByCode.get(code);
            if (key != null) {
                estimates.adopt(key, summary.unhealthyPerMille().get(i) / PER_MILLE, nowNanos);
            }
        }
    }

    /** Removes servers that are not in the list. */
    void retain(ServerList servers) {
        Set<String> keys = servers.all().stream().map(BackendServer::key).collect(Collectors.toSet());
        estimates.retain(keys);
        keysByCode.clear();
        keys.forEach(key -> keysByCode.put(FleetLoad.codeOf(key), key));
        idleServers.retain(keysByCode.keySet());
        limits.retain(keysByCode.keySet());
    }
}
