package io.coppershelf.floor.internal;

import io.coppershelf.membership.FleetView;
import io.coppershelf.membership.Vm;
import java.util.List;

/**
 * The voters of a service in the view of one VM.
 *
 * <p>Quorums of two views have a voter in common if the smaller set has at most two members outside the larger one
 * (one, if three voters meet five); see docs/design/floor.md.
 *
 * @param ids the ids of the voters, best-ranked first
 */
public record VoterSet(List<String> ids) {
    /** The most voters of a service. */
    public static final int SIZE = 5;

    /** The least voters: one or two VMs can't tell a lost peer from a cut, so they never eject. */
    public static final int LEAST_SIZE = 3;

    /** The most votes that a lease needs. */
    public static final int LARGEST_QUORUM = 4;

    public VoterSet {
        ids = List.copyOf(ids);
    }

    /** Returns the voters of the service in the given view. */
    public static VoterSet of(FleetView view, String service) {
        return new VoterSet(view.rankedPublished("floor/" + service, SIZE).stream()
                .map(Vm::id)
                .toList());
    }

    /** Returns the votes that a lease needs: all of up to four voters, four of five. */
    public int quorum() {
        return Math.min(ids.size(), LARGEST_QUORUM);
    }

    /** Returns whether there are enough voters for any right to be granted. */
    public boolean isLargeEnough() {
        return ids.size() >= LEAST_SIZE;
    }

    /** Returns whether the VM is a voter. */
    public boolean contains(String id) {
        return ids.contains(id);
    }
}
