package io.coppershelf.overload;

import io.coppershelf.catalog.FleetConfiguration;
import io.coppershelf.catalog.Route;
import io.coppershelf.catalog.Tenant;
import io.coppershelf.catalog.TenantTable;
import io.coppershelf.catalog.WeightedService;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/** Finds the ranks that the requests of each service can have. */
public final class ServiceRanks {
    private ServiceRanks() {}

    /** Returns the ranks by service, for the services of all routes. */
    public static Map<String, RankOrder> of(FleetConfiguration configuration) {
        Optional<Set<Optional<Integer>>> ofTenants = configuration
                .tenants()
                .map(TenantTable::all)
                .map(tenants -> tenants.stream().map(Tenant::rank).collect(Collectors.toSet()));
        Map<String, Set<Integer>> ranks = new HashMap<>();
        for (Route route : configuration.routes().all()) {
            Collection<Integer> ofRoute = ranksOf(route, ofTenants);
            for (WeightedService service : route.weightedServices()) {
                if (service.weight() > 0) {
                    ranks.computeIfAbsent(service.service(), name -> new TreeSet<>())
                            .addAll(ofRoute);
                }
            }
        }
        Map<String, RankOrder> orders = new HashMap<>();
        ranks.forEach((service, found) -> {
            if (!found.isEmpty()) {
                orders.put(service, RankOrder.of(found));
            }
        });
        return orders;
    }

    private static Collection<Integer> ranksOf(Route route, Optional<Set<Optional<Integer>>> ofTenants) {
        Set<Integer> ranks = new TreeSet<>();
        if (ofTenants.isEmpty() || route.isPublic()) {
            ranks.add(route.rank());
        }
        ofTenants.ifPresent(tenants -> tenants.forEach(rank -> ranks.add(rank.orElse(route.rank()))));
        return ranks;
    }
}
