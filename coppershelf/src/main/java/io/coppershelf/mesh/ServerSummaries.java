package io.coppershelf.mesh;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.ServerList;
import io.coppershelf.dispatch.FleetLoad;
import io.coppershelf.health.estimate.HealthEstimate;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntBiFunction;

/**
 * Summarizes health and load of the servers in this VM's data centre for VMs of other data centres, which use them when
 * their own are full or unhealthy. Free of I/O and clocks; not thread-safe.
 */
final class ServerSummaries {
    /** Interval between two summaries; evidence on a server has to act within a second in all data centres. */
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    /** Largest number of servers in a summary, so that it fits into one packet. */
    static final int MAX_SERVERS = 80;

    private static final double PER_MILLE = 1000;

    private final String dataCentre;
    private long lastNanos = Long.MIN_VALUE;

    ServerSummaries(String dataCentre) {
        this.dataCentre = dataCentre;
    }

    /**
     * Returns the summary that is due, if any. If there are too many servers, it contains those whose choice it can
     * change most: the most likely unhealthy ones first, then the fullest ones.
     *
     * @param ownInFlight returns the number of requests that this VM has in flight at a server with a code
     */
    Optional<MeshMessage.ServerSummary> pollDue(
            ServerList servers,
            FleetObservations observations,
            ToIntBiFunction<BackendServer, Long> ownInFlight,
            long nowNanos) {
        if (lastNanos != Long.MIN_VALUE && nowNanos - lastNanos < INTERVAL_NANOS) {
            return Optional.empty();
        }
        lastNanos = nowNanos;
        List<Entry> entries = entries(
                servers.all().stream()
                        .filter(server ->
                                server.isAccepting() && server.dataCentre().equals(dataCentre))
                        .toList(),
                observations,
                ownInFlight,
                nowNanos);
        return Optional.of(summary(entries.subList(0, Math.min(MAX_SERVERS, entries.size()))));
    }

    /**
     * Returns all that is known of the servers of all data centres, in as many messages as needed, for a VM that has
     * just started. Servers without observations are left out, so that a VM that knows nothing itself replaces no
     * estimate.
     */
    static List<MeshMessage.ServerSummary> complete(
            ServerList servers,
            FleetObservations observations,
            ToIntBiFunction<BackendServer, Long> ownInFlight,
            long nowNanos) {
        List<BackendServer> observed = servers.all().stream()
                .filter(server -> observations.estimates().isObserved(server.key()))
                .toList();
        List<Entry> entries = entries(observed, observations, ownInFlight, nowNanos);
        List<MeshMessage.ServerSummary> summaries = new ArrayList<>();
        for (int first = 0; first < entries.size(); first += MAX_SERVERS) {
            summaries.add(summary(entries.subList(first, Math.min(first + MAX_SERVERS, entries.size()))));
        }
        return summaries;
    }

    private static List<Entry> entries(
            List<BackendServer> servers,
            FleetObservations observations,
            ToIntBiFunction<BackendServer, Long> ownInFlight,
            long nowNanos) {
        List<Entry> entries = new ArrayList<>();
        for (BackendServer server : servers) {
            long code = FleetLoad.codeOf(server.key());
            HealthEstimate estimate = observations.estimates().estimate(server.key(), nowNanos);
            int inFlight = observations.load().inFlightOfOthers(code) + ownInFlight.applyAsInt(server, code);
            entries.add(new Entry(code, inFlight, estimate.unhealthyProbabilityAt(nowNanos)));
        }
        entries.sort(Comparator.comparingDouble(entry -> -entry.unhealthyProbability - entry.inFlight / PER_MILLE));
        return entries;
    }

    private static MeshMessage.ServerSummary summary(List<Entry> entries) {
        List<Long> codes = new ArrayList<>(entries.size());
        List<Integer> inFlight = new ArrayList<>(entries.size());
        List<Integer> unhealthyPerMille = new ArrayList<>(entries.size());
        for (Entry entry : entries) {
            codes.add(entry.code);
            inFlight.add(entry.inFlight);
            unhealthyPerMille.add((int) Math.round(entry.unhealthyProbability * PER_MILLE));
        }
        return new MeshMessage.ServerSummary(codes, inFlight, unhealthyPerMille);
    }

    private record Entry(long code, int inFlight, double unhealthyProbability) {}
}
