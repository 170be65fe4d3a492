package io.coppershelf.mesh;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.Catalog;
import io.coppershelf.catalog.CatalogRevision;
import io.coppershelf.catalog.FleetConfiguration;
import io.coppershelf.catalog.ServerList;
import io.coppershelf.catalog.TenantTable;
import io.coppershelf.eventlog.EventLog;
import io.coppershelf.eventlog.Fields;
import io.coppershelf.health.estimate.HealthEstimate;
import io.coppershelf.health.estimate.Observation;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Writes a log line for each change of the control state. */
final class StateChangeLog {
    /** The source of the observations of this VM itself. */
    static final String OWN_REQUEST = "own request";

    private final EventLog log;
    private boolean isPlatformLost;

    StateChangeLog(EventLog log) {
        this.log = log;
    }

    /**
     * Logs that a server is suspected or no longer suspected, if that has changed. Observations of other VMs are
     * routine, since those log them as their own.
     *
     * @param source the source of the observation
     */
    void estimateChanged(
            String serverKey,
            HealthEstimate before,
            HealthEstimate after,
            Object source,
            Observation observation,
            long nowNanos) {
        boolean isSuspected = after.isSuspected(nowNanos);
        if (isSuspected == before.isSuspected(nowNanos)) {
            return;
        }
        log.write(
                source.equals(OWN_REQUEST) ? EventLog.Importance.IMPORTANT : EventLog.Importance.ROUTINE,
                isSuspected ? "server-suspected" : "server-trusted",
                Fields.of(
                        "server",
                        serverKey,
                        "observation",
                        observation.name(),
                        "source",
                        source.toString(),
                        "sickness",
                        after.unhealthyProbabilityAt(nowNanos)));
    }

    /** Logs the limit that a server names, or that it names none any more. */
    void limitChanged(String serverKey, Optional<Double> perSecond, Object source) {
        log.important(
                perSecond.isPresent() ? "server-limited" : "server-limit-ended",
                Fields.of("server", serverKey, "perSecond", perSecond.orElse(0.0), "source", source.toString()));
    }

    /** Logs which servers joined, left or changed, if any. */
    void serversChanged(ServerList before, ServerList after, String source) {
        List<String> changes = new ArrayList<>();
        for (BackendServer server : after.all()) {
            Optional<BackendServer> known = before.server(server.id());
            if (known.isEmpty()) {
                changes.add("+" + server.id());
            } else if (!known.get().isSameForRouting(server)) {
                changes.add((server.isAccepting() ? "~" : "draining ") + server.id());
            }
        }
        for (BackendServer server : before.all()) {
            if (after.server(server.id()).isEmpty()) {
                changes.add("-" + server.id());
            }
        }
        if (!changes.isEmpty()) {
            log.important(
                    "servers-changed",
                    Fields.of("revision", after.revision(), "source", source, "changes", String.join(" ", changes)));
        }
    }

    /** Logs that the platform can't be read any more, with the reason of the first failure. */
    void platformLost(String reason) {
        if (!isPlatformLost) {
            isPlatformLost = true;
            log.important("platform-lost", Fields.of("reason", reason));
        }
    }

    /** Logs that the platform can be read again, if it could not. */
    void platformRead(CatalogRevision revision) {
        if (isPlatformLost) {
            isPlatformLost = false;
            log.important("platform-regained", Fields.of("revision", revision));
        }
    }

    /** Logs which configuration is in force, if that has changed. */
    void configurationChanged(Catalog before, Catalog after, String source) {
        // A configuration in force is only replaced by a newer one.
        if (version(after).equals(version(before))) {
            return;
        }
        after.configuration().ifPresent(configuration -> {
            Map<String, Object> fields = Fields.of(
                    "version", configuration.version(),
                    "routes", configuration.routes().size(),
                    "source", source);
            configuration.tenants().ifPresent(tenants -> addTenants(fields, before, tenants));
            log.important("configuration-in-force", fields);
        });
    }

    private static Optional<Long> version(Catalog catalog) {
        return catalog.configuration().map(FleetConfiguration::version);
    }

    private static void addTenants(Map<String, Object> fields, Catalog before, TenantTable tenants) {
        TenantTable former =
                before.configuration().flatMap(FleetConfiguration::tenants).orElse(TenantTable.EMPTY);
        TenantTable.Changes changes = tenants.changesSince(former);
        fields.put("tenants", tenants.all().size());
        fields.put("tenantsAdded", changes.tenantsAdded());
        fields.put("tenantsRemoved", changes.tenantsRemoved());
        fields.put("keysAdded", changes.keysAdded());
        fields.put("keysWithdrawn", changes.keysWithdrawn());
        fields.put("ambiguousKeys", tenants.ambiguousKeys());
    }
}
