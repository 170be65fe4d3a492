package io.coppershelf.routing.internal;

import io.coppershelf.admission.GroupName;
import java.util.Optional;
import java.util.Set;

/** Selects the groups for the attempts of a request and limits its retries. */
public interface AttemptPolicy {
    /** Selects a server group that isn't excluded; empty if there is none. */
    Optional<GroupName> selectGroup(Set<GroupName> excluded);

    /** Returns the number of VMs that may serve the group. */
    int ownerCount(GroupName group);

    /** Spends one retry of the service's retry budget; returns false if the budget is exhausted. */
    boolean spendRetry();
}
