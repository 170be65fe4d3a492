package io.coppershelf.routing.internal;

import io.coppershelf.admission.GroupName;
import io.coppershelf.membership.FleetView;
import io.coppershelf.ticket.Configuration;
import io.coppershelf.ticket.ServerSpec;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** Makes the try policy of each service from the configuration and the fleet in force. */
final class ServicePolicies {
    private final Configuration.Source configuration;
    private final FleetView.Source fleet;
    private final KnownLoads loads;
    private final GroupChoice choice;
    private final ConcurrentMap<String, RetryBudget> budgets = new ConcurrentHashMap<>();

    ServicePolicies(Configuration.Source configuration, FleetView.Source fleet, KnownLoads loads, GroupChoice choice) {
        this.configuration = configuration;
        this.fleet = fleet;
        this.loads = loads;
        this.choice = choice;
    }

    /** Counts a first try of the service and returns the policy for its further tries. */
    TryPolicy firstTry(String service, long nowNanos) {
        RetryBudget budget = budgets.computeIfAbsent(service, key -> new RetryBudget());
        synchronized (budget) {
            budget.recordFirstTry();
        }
        return new ServicePolicy(service, budget, nowNanos);
    }

    private List<GroupName> groups(String service, Set<GroupName> excluded) {
        return configuration.current().servers(service).stream()
                .map(ServerSpec::dataCentre)
                .distinct()
                .map(dataCentre -> new GroupName(service, dataCentre))
                .filter(group -> !excluded.contains(group))
                .toList();
    }

    private final class ServicePolicy implements TryPolicy {
        private final String service;
        private final RetryBudget budget;
        private final long nowNanos;

        ServicePolicy(String service, RetryBudget budget, long nowNanos) {
            this.service = service;
            this.budget = budget;
            this.nowNanos = nowNanos;
        }

        @Override
        public Optional<GroupName> choose(Set<GroupName> excluded) {
            synchronized (choice) {
                return choice.choose(groups(service, excluded), group -> loads.expectedWaitNanos(group, nowNanos));
            }
        }

        @Override
        public int candidates(GroupName group) {
            return group.owners(fleet.current()).size();
        }

        @Override
        public boolean spendRetry() {
            synchronized (budget) {
                return budget.trySpend();
            }
        }
    }
}
