package io.coppershelf.routing.internal;

import io.coppershelf.admission.GroupName;
import java.util.Optional;
import java.util.Set;

/** What a request asks before it sends a further try. */
public interface AttemptPolicy {
    /** Returns the server group to try, none of the given ones; empty if there is no other. */
    Optional<GroupName> selectGroup(Set<GroupName> excluded);

    /** Returns the number of VMs that may serve the group. */
    int ownerCount(GroupName group);

    /** Takes one try from the retry budget of the service; false if it is used up. */
    boolean spendRetry();
}
