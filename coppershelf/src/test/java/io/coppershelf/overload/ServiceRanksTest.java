package io.coppershelf.overload;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.CallerLimits;
import io.coppershelf.catalog.FleetConfiguration;
import io.coppershelf.catalog.RequestKind;
import io.coppershelf.catalog.Route;
import io.coppershelf.catalog.RouteTable;
import io.coppershelf.catalog.Tenant;
import io.coppershelf.catalog.TenantTable;
import io.coppershelf.testing.Catalogs;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class ServiceRanksTest {
    /** Guards against control in deployments whose requests all have the same priority. */
    @Test
    void routesOfOnePriorityGiveOneRank() {
        assertThat(ranks(Catalogs.route(RequestKind.ONCE), Optional.empty())).containsExactly(1);
    }

    /** Guards against the priority of a route that none of its tenants uses. */
    @Test
    void priorityOfTheTenantTakesPrecedence() {
        Map<Tenant, Set<String>> tenants = Map.of(tenant("a", 0), Set.of("key-a"), tenant("b", 2), Set.of("key-b"));
        assertThat(ranks(Catalogs.route(RequestKind.ONCE), Optional.of(TenantTable.of(tenants))))
                .containsExactly(0, 2)
                .inOrder();
    }

    /** Guards against requests without a tenant that have no place in the order. */
    @Test
    void publicRouteKeepsItsOwnPriority() {
        Map<Tenant, Set<String>> tenants = Map.of(tenant("a", 0), Set.of("key-a"));
        assertThat(ranks(Catalogs.route(RequestKind.ONCE).asPublic(), Optional.of(TenantTable.of(tenants))))
                .containsExactly(0, 1)
                .inOrder();
    }

    private static Tenant tenant(String name, int rank) {
        return new Tenant(name, Optional.of(rank), Optional.empty());
    }

    private static List<Integer> ranks(Route route, Optional<TenantTable> tenants) {
        FleetConfiguration configuration =
                new FleetConfiguration(1, RouteTable.of(List.of(route)), Map.of(), CallerLimits.DEFAULT, tenants);
        return ServiceRanks.of(configuration).get("ledger").sorted();
    }
}
