package io.coppershelf.membership;

import io.coppershelf.component.ComponentKey;
import java.util.List;
import java.util.Optional;

/** An immutable snapshot of the VMs that this VM counts as live. */
public interface FleetView {
    /** Returns this VM. */
    Vm self();

    /** Returns all live VMs, this one included, in the order of their ids; leaving ones are part of it. */
    List<Vm> vms();

    /** Returns the live VM of the given id. */
    Optional<Vm> vm(String id);

    /** Returns whether this VM has had an answer from the given one within the liveness limit. */
    boolean isReachable(String id);

    /**
     * Returns whether the live VMs are more than half of all that should be there: those count as well that peers say
     * are gone and that neither left nor were dropped from the platform's list. In a split, one side at most has it.
     */
    default boolean hasMajority() {
        return true;
    }

    /**
     * Returns the live VMs that are not leaving, ranked for a key by rendezvous hashing, best first.
     *
     * @param key what is to be placed
     * @param preferredDataCentre VMs of this data centre go before all others; empty string for none
     * @param limit the most VMs to return
     * @see <a href="https://www.eecs.umich.edu/techreports/cse/96/CSE-TR-316-96.pdf">Thaler and Ravishankar, A
     *     Name-Based Mapping Scheme for Rendezvous, 1996</a>
     */
    List<Vm> ranked(String key, String preferredDataCentre, int limit);

    /**
     * Returns the VMs of the platform's latest known list, ranked for a key by rendezvous hashing, best first: also
     * those that can't be reached or are leaving. Two parts of a split fleet that know the same list get the same VMs,
     * which is what quorums need.
     *
     * @param key what is to be placed
     * @param limit the most VMs to return
     */
    default List<Vm> rankedPublished(String key, int limit) {
        return ranked(key, "", limit);
    }

    /** Where traffic threads read the view in force. */
    interface Source {
        ComponentKey<Source> NAME = ComponentKey.named("fleet", Source.class);

        /** Returns the latest snapshot. */
        FleetView current();

        /** Calls the listener on the control thread after each change. */
        void onChange(Runnable listener);
    }
}
