package io.coppershelf.routing.internal;

import io.coppershelf.admission.GroupName;
import io.coppershelf.admission.OwnerLookup;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** Creates the attempt policies of services from the current configuration and fleet. */
final class AttemptPolicies {
    private final ServiceGroups groups;
    private final OwnerLookup lookup;
    private final GroupLoadCache loads;
    private final GroupSelector selector;
    private final ConcurrentMap<String, ServiceRetryBudget> budgets = new ConcurrentHashMap<>();

    AttemptPolicies(ServiceGroups groups, OwnerLookup lookup, GroupLoadCache loads, GroupSelector selector) {
        this.groups = groups;
        this.lookup = lookup;
        this.loads = loads;
        this.selector = selector;
    }

    /** Counts a first attempt of the service and returns the policy for the attempts of the request. */
    AttemptPolicy recordFirstAttempt(String service, long nowNanos) {
        ServiceRetryBudget budget = budgets.computeIfAbsent(service, key -> new ServiceRetryBudget());
        synchronized (budget) {
            budget.recordFirstAttempt();
        }
        return new ServicePolicy(service, budget, nowNanos);
    }

    private final class ServicePolicy implements AttemptPolicy {
        private final String service;
        private final ServiceRetryBudget budget;
        private final long nowNanos;

        ServicePolicy(String service, ServiceRetryBudget budget, long nowNanos) {
            this.service = service;
            this.budget = budget;
            this.nowNanos = nowNanos;
        }

        @Override
        public Optional<GroupName> selectGroup(Set<GroupName> excluded) {
            List<GroupName> candidates = groups.of(service).stream()
                    .filter(group -> !excluded.contains(group))
                    .toList();
            synchronized (selector) {
                return selector.select(candidates, group -> loads.expectedWaitNanos(group, nowNanos));
            }
        }

        @Override
        public int ownerCount(GroupName group) {
            return lookup.owners(group).size();
        }

        @Override
        public boolean spendRetry() {
            synchronized (budget) {
                return budget.trySpend();
            }
        }
    }
}
