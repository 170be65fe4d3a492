package io.coppershelf.mesh;

import io.coppershelf.catalog.CallerLimits;
import io.coppershelf.catalog.CatalogChange;
import io.coppershelf.catalog.CatalogRevision;
import io.coppershelf.catalog.FleetConfiguration;
import io.coppershelf.catalog.RequestKind;
import io.coppershelf.catalog.Route;
import io.coppershelf.catalog.RouteTable;
import io.coppershelf.catalog.Tenant;
import io.coppershelf.catalog.TenantTable;
import io.coppershelf.catalog.UsageCap;
import io.coppershelf.testing.Catalogs;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Snapshots for the tests of this package. */
final class Snapshots {
    private Snapshots() {}

    static FleetConfiguration configuration(long version) {
        return new FleetConfiguration(
                version,
                RouteTable.of(List.of(Catalogs.route(RequestKind.ONCE))),
                Map.of("ledger", 330),
                CallerLimits.DEFAULT);
    }

    /** Returns the configuration with one tenant, which holds a key, and with one public route. */
    static FleetConfiguration withTenant(long version, String key) {
        Tenant tenant = new Tenant("acme", Optional.of(0), Optional.of(new UsageCap(153.5, 20)));
        return withTenants(version, TenantTable.of(Map.of(tenant, List.of(key))));
    }

    /** Returns the configuration with tenants and one public route. */
    static FleetConfiguration withTenants(long version, TenantTable tenants) {
        Route route = Catalogs.route(RequestKind.ONCE).asPublic();
        return new FleetConfiguration(
                version, RouteTable.of(List.of(route)), Map.of(), CallerLimits.DEFAULT, Optional.of(tenants));
    }

    /** Returns a snapshot with one server and the configuration, whose version is the revision. */
    static Snapshot of(FleetConfiguration configuration) {
        return new Snapshot(
                configuration.version(),
                new CatalogChange(
                        CatalogRevision.NONE,
                        Catalogs.revision(configuration.version()),
                        Optional.of(configuration),
                        List.of(Catalogs.server("a", "here")),
                        Set.of()),
                Set.of());
    }

    /** Returns what a store has that was restored from an older copy, with one server. */
    static Snapshot restored(long version, String serverId) {
        return new Snapshot(
                version,
                new CatalogChange(
                        CatalogRevision.NONE,
                        new CatalogRevision(2, version),
                        Optional.of(configuration(version)),
                        List.of(Catalogs.server(serverId, "here")),
                        Set.of()),
                Set.of());
    }

    /** Returns a snapshot with one server, whose revision is the version of the configuration. */
    static Snapshot of(long revision) {
        return of(configuration(revision));
    }
}
