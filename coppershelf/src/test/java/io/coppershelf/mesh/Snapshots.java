package io.coppershelf.mesh;

import io.coppershelf.catalog.CallerLimits;
import io.coppershelf.catalog.CatalogChange;
import io.coppershelf.catalog.FleetConfiguration;
import io.coppershelf.catalog.RequestKind;
import io.coppershelf.catalog.RouteTable;
import io.coppershelf.testing.Catalogs;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Snapshots for the tests of this package. */
final class Snapshots {
    private Snapshots() {}

    static FleetConfiguration configuration(long revision) {
        return new FleetConfiguration(
                revision,
                2 * revision,
                RouteTable.of(List.of(Catalogs.route(RequestKind.ONCE))),
                Map.of("ledger", 330),
                CallerLimits.DEFAULT);
    }

    /** Returns a snapshot with one server, in which everything has the same revision. */
    static Snapshot of(long revision) {
        return new Snapshot(
                revision,
                new CatalogChange(
                        0,
                        revision,
                        Optional.of(configuration(revision)),
                        List.of(Catalogs.server("a", "here")),
                        Set.of()));
    }
}
