package io.coppershelf.admission;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.membership.FleetView;
import io.coppershelf.membership.Vm;
import io.coppershelf.membership.internal.FleetSnapshot;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class OwnerLookupTest implements FleetView.Source {
    private static final GroupName GROUP = new GroupName("rotavis", "viborg");
    private static final List<Vm> VMS =
            IntStream.range(0, 8).mapToObj(i -> vm("vm-" + i)).toList();

    private FleetView view = view(Set.of());

    private static Vm vm(String id) {
        return new Vm(id, 1, "viborg", "127.0.0.1", 1, 2, false);
    }

    private static FleetView view(Set<String> reachable) {
        return new FleetSnapshot(VMS.get(0), VMS.subList(1, 8), reachable);
    }

    @Override
    public FleetView current() {
        return view;
    }

    @Override
    public void onChange(Runnable listener) {}

    @Test
    void keepsOrderIfNoCandidateIsReachableAndElsePutsReachableOnesFirst() {
        OwnerLookup lookup = new OwnerLookup(this);
        List<Vm> owners = lookup.owners(GROUP);
        assertThat(owners).hasSize(GroupName.OWNER_CANDIDATES);
        assertThat(owners).isEqualTo(GROUP.owners(view));

        view = view(Set.of(owners.get(2).id()));

        assertThat(lookup.owners(GROUP)).isEqualTo(owners);
        assertThat(lookup.ownersReachableFirst(GROUP).stream().filter(vm -> view.isReachable(vm.id())))
                .contains(lookup.ownersReachableFirst(GROUP).get(0));
    }

    @Test
    void followsTheViewOfTheFleet() {
        OwnerLookup lookup = new OwnerLookup(this);
        Vm removed = lookup.owners(GROUP).get(0);
        List<Vm> remaining = VMS.stream().filter(vm -> !vm.equals(removed)).toList();
        view = new FleetSnapshot(remaining.get(0), remaining, Set.of());

        assertThat(lookup.owners(GROUP)).doesNotContain(removed);
        assertThat(lookup.owners(GROUP)).isEqualTo(GROUP.owners(view));
    }

    @Test
    void servesGroupsOfWhichThisVmIsACandidate() {
        OwnerLookup lookup = new OwnerLookup(this);

        for (String dataCentre : List.of("viborg", "herning", "odense")) {
            GroupName group = new GroupName("rotavis", dataCentre);
            assertThat(lookup.isServedHere(group)).isEqualTo(group.owners(view).contains(VMS.get(0)));
        }
    }
}
