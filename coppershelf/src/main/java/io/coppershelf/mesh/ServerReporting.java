package io.coppershelf.mesh;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.ServerList;
import io.coppershelf.dispatch.FleetLoad;
import io.coppershelf.health.estimate.Observation;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Exchanges observations and load of the servers with other VMs. Confined to the control thread. */
final class ServerReporting {
    /** Share of its slots in use from which a server's load decides on choices and is reported at once. */
    private static final double URGENT_FILL = 0.5;

    private final EventLoop loop;
    private final FleetMessenger messenger;
    private final FleetObservations observations;
    private final StateChangeLog changeLog;
    private final ServerSummaries summaries;
    private final Map<String, ServerReporter> reportersByDataCentre = new HashMap<>();

    ServerReporting(
            EventLoop loop,
            FleetMessenger messenger,
            FleetObservations observations,
            String dataCentre,
            StateChangeLog changeLog) {
        this.loop = loop;
        this.messenger = messenger;
        this.observations = observations;
        this.changeLog = changeLog;
        summaries = new ServerSummaries(dataCentre);
    }

    /** Records the outcome of a request of this VM. */
    void observed(BackendServer server, Observation observation) {
        long now = System.nanoTime();
        String key = server.key();
        if (observations.observe(key, observation, StateChangeLog.OWN_REQUEST, changeLog, now)) {
            long dueNanos = reporter(server)
                    .observed(new MeshMessage.ServerObservation(key, observation), messenger.audience(now), now);
            if (observation.isNegative()) {
                schedule(server.dataCentre(), dueNanos, now);
            }
        }
    }

    /** Records a changed number of requests that this VM has in flight. */
    void loadChanged(BackendServer server, int inFlight, boolean isStart) {
        long now = System.nanoTime();
        long code = FleetLoad.codeOf(server.key());
        if (isStart) {
            observations.idleServers().recordRequest(code, now);
        }
        Audience audience = messenger.audience(now);
        boolean isUrgent = isStart && (!audience.isPartial() || fillsUp(server, code, inFlight));
        long dueNanos = reporter(server).changed(code, inFlight, isUrgent, audience, now);
        if (isUrgent) {
            schedule(server.dataCentre(), dueNanos, now);
        }
    }

    /** Applies the report of another VM. */
    void apply(InetSocketAddress sender, MeshMessage.ServerReport report) {
        long now = System.nanoTime();
        observations.recordLoad(sender, report, now);
        report.observations()
                .forEach(observed ->
                        observations.observe(observed.serverKey(), observed.observation(), sender, changeLog, now));
    }

    /** Applies the summary of a VM of another data centre. */
    void apply(MeshMessage.ServerSummary summary) {
        observations.recordSummary(summary, System.nanoTime());
    }

    /** Reports the limit that a server names in answers to this VM. */
    void limited(BackendServer server, Optional<Double> perSecond) {
        changeLog.limitChanged(server.key(), perSecond, StateChangeLog.OWN_REQUEST);
        messenger.sendToAll(new MeshMessage.ServerLimit(server.key(), perSecond), System.nanoTime());
    }

    /** Applies a limit that another VM reports. */
    void apply(InetSocketAddress sender, MeshMessage.ServerLimit limit) {
        if (observations.limits().record(FleetLoad.codeOf(limit.serverKey()), limit.perSecond(), System.nanoTime())) {
            changeLog.limitChanged(limit.serverKey(), limit.perSecond(), sender);
        }
    }

    /** Sends the reports and the summary that are due. */
    void sendDue(ServerList servers) {
        reportersByDataCentre.keySet().forEach(this::send);
        long now = System.nanoTime();
        Audience audience = messenger.audience(now);
        observations.idleServers().limitTo(audience::covers);
        if (!audience.summaryReceivers().isEmpty()) {
            summaries
                    .pollDue(servers, observations, this::inFlight, now)
                    .ifPresent(summary -> messenger.sendSummary(summary, now));
        }
    }

    /** Returns whether other VMs would choose another server if they knew of the last request. */
    private boolean fillsUp(BackendServer server, long code, int inFlight) {
        return inFlight + observations.load().inFlightOfOthers(code) >= URGENT_FILL * server.slots();
    }

    private int inFlight(BackendServer server, long serverCode) {
        return reporter(server).inFlight(serverCode);
    }

    private ServerReporter reporter(BackendServer server) {
        return reportersByDataCentre.computeIfAbsent(server.dataCentre(), dataCentre -> new ServerReporter());
    }

    private void schedule(String dataCentre, long dueNanos, long nowNanos) {
        loop.schedule(() -> send(dataCentre), Math.max(0, dueNanos - nowNanos), TimeUnit.NANOSECONDS);
    }

    private void send(String dataCentre) {
        long now = System.nanoTime();
        Optional.ofNullable(reportersByDataCentre.get(dataCentre))
                .flatMap(reporter -> reporter.pollDue(now))
                .ifPresent(report -> messenger.sendReport(dataCentre, report, now));
    }
}
