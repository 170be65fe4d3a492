package io.coppershelf.floor.internal;

import io.coppershelf.membership.FleetView;
import io.coppershelf.membership.Vm;
import java.util.List;

/**
 * The voters of a service as one VM sees them.
 *
 * <p>The quorums of two VMs with different voter sets have a voter in common if the smaller set has at most two members
 * outside the larger one (at most one if the sets have three and five voters); see docs/design/floor.md.
 *
 * @param ids the ids of the voters, best-ranked first
 */
public record VoterSet(List<String> ids) {
    /** The maximum number of voters of a service. */
    public static final int MAX_SIZE = 5;

    /**
     * The minimum number of voters: one or two VMs can't tell a failed peer from a network cut, so they never eject.
     */
    public static final int MIN_SIZE = 3;

    /** The maximum number of votes that a lease requires. */
    public static final int MAX_QUORUM = 4;

    public VoterSet {
        ids = List.copyOf(ids);
    }

    /** Returns the voters of the service in the given view of the fleet. */
    public static VoterSet of(FleetView view, String service) {
        return new VoterSet(view.rankedPublished("floor/" + service, MAX_SIZE).stream()
                .map(Vm::id)
                .toList());
    }

    /** Returns the number of votes that a lease requires: all of up to four voters, four of five. */
    public int quorum() {
        return Math.min(ids.size(), MAX_QUORUM);
    }

    /** Returns whether there are enough voters to acquire a lease. */
    public boolean isLargeEnough() {
        return ids.size() >= MIN_SIZE;
    }

    /** Returns whether the VM is a voter. */
    public boolean contains(String id) {
        return ids.contains(id);
    }
}
