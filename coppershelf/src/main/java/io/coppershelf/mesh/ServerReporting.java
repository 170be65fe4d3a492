package io.coppershelf.mesh;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.ServerList;
import io.coppershelf.dispatch.FleetLoad;
import io.coppershelf.health.estimate.Observation;
import io.coppershelf.poison.CrashRecord;
import io.coppershelf.poison.RequestFingerprint;
import io.coppershelf.proxy.FleetReports;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Exchanges observations, load and limits of the servers, and the requests under which they crashed, with other VMs.
 * Confined to the control thread, but for what the traffic path reports.
 */
final class ServerReporting implements FleetReports {
    /** Share of its slots in use from which a server's load decides on choices and is reported at once. */
    private static final double URGENT_FILL = 0.5;

    private final EventLoop loop;
    private final FleetMessenger messenger;
    private final FleetObservations observations;
    private final CrashReporting crashes;
    private final SummaryFetcher summaryFetcher;
    private final StateChangeLog changeLog;
    private final ServerSummaries summaries;
    private final Map<String, ServerReporter> reportersByDataCentre = new HashMap<>();
    private ServerList servers = ServerList.EMPTY;
    private Optional<Audience> limitedTo = Optional.empty();

    ServerReporting(
            EventLoop loop,
            FleetMessenger messenger,
            FleetObservations observations,
            CrashReporting crashes,
            SummaryFetcher summaryFetcher,
            String dataCentre,
            StateChangeLog changeLog) {
        this.loop = loop;
        this.messenger = messenger;
        this.observations = observations;
        this.crashes = crashes;
        this.summaryFetcher = summaryFetcher;
        this.changeLog = changeLog;
        summaries = new ServerSummaries(dataCentre);
    }

    @Override
    public void observed(BackendServer server, Observation observation) {
        loop.execute(() -> recordObservation(server, observation));
    }

    @Override
    public void loadChanged(BackendServer server, int inFlight, boolean isStart) {
        loop.execute(() -> recordLoad(server, inFlight, isStart));
    }

    @Override
    public void serverLimited(BackendServer server, Optional<Double> perSecond) {
        loop.execute(() -> reportLimit(server, perSecond));
    }

    @Override
    public void requestCrashed(List<CrashRecord> records) {
        loop.execute(() -> crashes.report(records));
    }

    @Override
    public void requestCleared(List<RequestFingerprint> fingerprints) {
        loop.execute(() -> crashes.report(new MeshMessage.RequestCleared(fingerprints)));
    }

    private void recordObservation(BackendServer server, Observation observation) {
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

    private void recordLoad(BackendServer server, int inFlight, boolean isStart) {
        long now = System.nanoTime();
        long code = FleetLoad.codeOf(server.key());
        boolean wasIdle = isStart && observations.idleServers().recordRequest(code, now);
        Audience audience = messenger.audience(now);
        int inFlightOfAll = inFlight + observations.load().inFlightOfOthers(code);
        boolean isUrgent = isStart && isUrgent(server, inFlightOfAll, wasIdle, audience);
        long dueNanos = reporter(server).changed(code, inFlight, isUrgent, audience, now);
        if (isUrgent) {
            schedule(server.dataCentre(), dueNanos, now);
        }
    }

    /** Applies a message of another VM on servers. */
    void apply(InetSocketAddress sender, MeshMessage message) {
        summaryFetcher.received(sender, message);
        if (message instanceof MeshMessage.SummaryRequest) {
            sendSummaries(sender);
        } else if (message instanceof MeshMessage.ServerReport report) {
            apply(sender, report);
        } else if (message instanceof MeshMessage.ServerSummary summary) {
            observations.recordSummary(summary, System.nanoTime());
        } else if (message instanceof MeshMessage.ServerLimit limit) {
            apply(sender, limit);
        } else if (message instanceof MeshMessage.RequestCrashes reported) {
            crashes.apply(sender, reported);
        } else if (message instanceof MeshMessage.RequestCleared cleared) {
            crashes.apply(cleared);
        }
    }

    /** Sends to another VM all that this one knows of the servers. */
    private void sendSummaries(InetSocketAddress receiver) {
        ServerSummaries.complete(servers, observations, this::inFlight, System.nanoTime())
                .forEach(summary -> messenger.send(receiver, summary));
    }

    /**
     * Sends to another VM what it may have missed, and requests what this one may have missed.
     *
     * @param ageNanos the time since this VM started
     */
    void gossip(long ageNanos, long nowNanos) {
        crashes.gossip(nowNanos);
        summaryFetcher.requestIfMissing(servers, ageNanos);
    }

    private void apply(InetSocketAddress sender, MeshMessage.ServerReport report) {
        long now = System.nanoTime();
        observations.recordLoad(sender, report, now);
        for (MeshMessage.ServerObservation observed : report.observations()) {
            observations.observe(observed.serverKey(), observed.observation(), sender, changeLog, now);
        }
    }

    private void reportLimit(BackendServer server, Optional<Double> perSecond) {
        changeLog.limitChanged(server.key(), perSecond, StateChangeLog.OWN_REQUEST);
        messenger.sendToAll(new MeshMessage.ServerLimit(server.key(), perSecond), System.nanoTime());
    }

    private void apply(InetSocketAddress sender, MeshMessage.ServerLimit limit) {
        if (observations.limits().record(FleetLoad.codeOf(limit.serverKey()), limit.perSecond(), System.nanoTime())) {
            changeLog.limitChanged(limit.serverKey(), limit.perSecond(), sender);
        }
    }

    /**
     * Sends the reports and the summary that are due.
     *
     * @param serversInForce the servers that may get requests
     */
    void sendDue(ServerList serversInForce) {
        servers = serversInForce;
        long now = System.nanoTime();
        for (Map.Entry<String, ServerReporter> reporter : reportersByDataCentre.entrySet()) {
            send(reporter.getKey(), reporter.getValue(), now);
        }
        Audience audience = messenger.audience(now);
        if (limitedTo.isEmpty() || limitedTo.get() != audience) {
            limitedTo = Optional.of(audience);
            observations.idleServers().limitTo(audience::covers);
        }
        if (!audience.summaryReceivers().isEmpty()) {
            summaries
                    .pollDue(servers, observations, this::inFlight, now)
                    .ifPresent(summary -> messenger.sendSummary(summary, now));
        }
    }

    /**
     * Returns whether a new request is reported at once, as other VMs would choose another server if they knew of it.
     *
     * @param inFlightOfAll the requests that all VMs have in flight at the server, with the new one
     * @param wasIdle whether the server was idle before the request
     */
    static boolean isUrgent(BackendServer server, int inFlightOfAll, boolean wasIdle, Audience audience) {
        return !audience.isPartial() || wasIdle || inFlightOfAll >= URGENT_FILL * server.slots();
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
        send(dataCentre, reportersByDataCentre.get(dataCentre), System.nanoTime());
    }

    private void send(String dataCentre, ServerReporter reporter, long nowNanos) {
        Optional<MeshMessage.ServerReport> report = reporter.pollDue(nowNanos);
        if (report.isPresent()) {
            messenger.sendReport(dataCentre, report.get(), nowNanos);
        }
    }
}
