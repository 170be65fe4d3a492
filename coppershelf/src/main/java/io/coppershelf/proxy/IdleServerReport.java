package io.coppershelf.proxy;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.ServerList;
import io.coppershelf.dispatch.IdleServers;
import io.coppershelf.dispatch.ServerChooser;
import io.coppershelf.eventlog.EventLog;
import io.coppershelf.eventlog.Fields;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.stream.Collectors;

/** Reports which servers get no requests although they accept some, and why. */
final class IdleServerReport {
    /** Largest number of servers in a line of the log. */
    private static final int MAX_LISTED = 5;

    private final ServerChooser chooser;
    private final Gauge idle;
    private final EventLog log;

    IdleServerReport(ServerChooser chooser, PrometheusRegistry registry, EventLog log) {
        this.chooser = chooser;
        this.log = log;
        idle = Gauge.builder()
                .name("coppershelf_idle_servers")
                .help("Servers that accept requests and have had none for two seconds, by the reason")
                .labelNames("reason")
                .register(registry);
    }

    /** Reports the idle servers; to be called once a second. */
    void report(ServerList servers, long nowNanos) {
        IdleServers found = IdleServers.among(servers.accepting(), chooser, nowNanos);
        idle.labelValues("healthy").set(found.healthy().size());
        idle.labelValues("suspected").set(found.suspected().size());
        idle.labelValues("unavailable").set(found.unavailable().size());
        if (!found.healthy().isEmpty()) {
            log.routine(
                    "servers-idle",
                    Fields.of(
                            "healthy", listed(found.healthy()),
                            "healthyCount", found.healthy().size(),
                            "suspectedCount", found.suspected().size(),
                            "unavailableCount", found.unavailable().size()));
        }
    }

    private static String listed(List<BackendServer> servers) {
        return servers.stream().limit(MAX_LISTED).map(BackendServer::id).collect(Collectors.joining(" "));
    }
}
