package io.coppershelf.admission;

import io.coppershelf.membership.FleetView;
import io.coppershelf.membership.Vm;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** Caches the owners of server groups until the view of the fleet changes. Thread-safe. */
public final class OwnerLookup {
    private final FleetView.Source fleet;
    private volatile Table table;

    /** Creates a lookup in the current view of the fleet. */
    public OwnerLookup(FleetView.Source fleet) {
        this.fleet = fleet;
        this.table = new Table(fleet.current());
    }

    /** Returns the VMs that may serve the group, the owner first. */
    public List<Vm> owners(GroupName group) {
        Table current = current();
        return current.owners.computeIfAbsent(group, key -> key.owners(current.view));
    }

    /** Returns the VMs that may serve the group, those that this VM can reach first. */
    public List<Vm> ownersReachableFirst(GroupName group) {
        FleetView view = fleet.current();
        return owners(group).stream()
                .sorted(Comparator.comparing(vm -> !view.isReachable(vm.id())))
                .toList();
    }

    /** Returns whether this VM may serve the group. */
    public boolean isServedHere(GroupName group) {
        String self = fleet.current().self().id();
        return owners(group).stream().anyMatch(vm -> vm.id().equals(self));
    }

    private Table current() {
        FleetView view = fleet.current();
        Table present = table;
        if (present.view == view) {
            return present;
        }
        Table fresh = new Table(view);
        table = fresh;
        return fresh;
    }

    private static final class Table {
        private final FleetView view;
        private final ConcurrentMap<GroupName, List<Vm>> owners = new ConcurrentHashMap<>();

        Table(FleetView view) {
            this.view = view;
        }
    }
}
