package io.coppershelf.membership;

import io.coppershelf.component.ComponentKey;
import java.util.List;
import java.util.Optional;

/** An immutable view of the fleet by this VM: the VMs that it considers live. */
public interface FleetView {
    /** Returns this VM. */
    Vm self();

    /** Returns all live VMs in the order of their ids, including this one and those that are leaving. */
    List<Vm> vms();

    /** Returns the live VM with the given id. */
    Optional<Vm> vm(String id);

    /** Returns whether the given VM replied to the last probe of this one. */
    boolean isReachable(String id);

    /**
     * Returns whether the live VMs are a majority of the expected ones. Expected are the live VMs, and those that were
     * marked as gone by probes though they neither left nor were dropped from the platform's VM list. In a network
     * split, at most one side has the majority.
     */
    default boolean hasMajority() {
        return true;
    }

    /**
     * Returns the live VMs that are not leaving, ranked for a key by rendezvous hashing, best first.
     *
     * @param key the key to place
     * @param preferredDataCentre the data centre whose VMs rank before all others, empty string for none
     * @param limit the maximum number of VMs to return
     * @see <a href="https://www.eecs.umich.edu/techreports/cse/96/CSE-TR-316-96.pdf">Thaler and Ravishankar, A
     *     Name-Based Mapping Scheme for Rendezvous, 1996</a>
     */
    List<Vm> ranked(String key, String preferredDataCentre, int limit);

    /**
     * Returns the VMs of the last VM list published by the platform, ranked for a key by rendezvous hashing, best
     * first. It includes unreachable and leaving VMs. Both sides of a network split that have the same list get the
     * same VMs, as quorums require.
     *
     * @param key the key to place
     * @param limit the maximum number of VMs to return
     */
    default List<Vm> rankedPublished(String key, int limit) {
        return ranked(key, "", limit);
    }

    /** Provides the current view of the fleet. Thread-safe. */
    interface Source {
        ComponentKey<Source> NAME = ComponentKey.named("fleet", Source.class);

        /** Returns the latest snapshot. */
        FleetView current();

        /** Calls the listener on the control thread after each change. */
        void onChange(Runnable listener);
    }
}
