package io.coppershelf.membership.internal;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.membership.Vm;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class FleetSnapshotTest {
    private static final List<Vm> FLEET = IntStream.range(0, 36)
            .mapToObj(i -> new Vm("vm-" + i, 1, "dc-" + i % 4, "127.0.0.1", 1000 + i, 2000 + i, i == 7))
            .toList();

    @Test
    void ranksTheSameOnEveryVm() {
        assertThat(seenFrom(0, FLEET).ranked("group/rotavis", "dc-1", 5))
                .isEqualTo(seenFrom(20, FLEET).ranked("group/rotavis", "dc-1", 5));
    }

    @Test
    void ranksThePreferredDataCentreFirstAndNoLeavingVm() {
        List<Vm> ranked = seenFrom(0, FLEET).ranked("key", "dc-3", 36);

        assertThat(ranked).hasSize(35);
        assertThat(ranked.subList(0, 8).stream().map(Vm::dataCentre).distinct()).containsExactly("dc-3");
        assertThat(ranked.stream().map(Vm::id)).doesNotContain("vm-7");
    }

    @Test
    void movesOnlyTheKeysOfARemovedVm() {
        FleetSnapshot before = seenFrom(0, FLEET);
        List<Vm> rest = new ArrayList<>(FLEET);
        Vm removed = rest.remove(11);
        FleetSnapshot after = seenFrom(0, rest);

        for (int key = 0; key < 1000; key++) {
            Vm owner = before.ranked("key-" + key, "", 1).get(0);
            if (!owner.equals(removed)) {
                assertThat(after.ranked("key-" + key, "", 1)).containsExactly(owner);
            }
        }
    }

    @Test
    void spreadsKeysOverAllVms() {
        FleetSnapshot view = seenFrom(0, FLEET);
        long owners = IntStream.range(0, 1000)
                .mapToObj(key -> view.ranked("key-" + key, "", 1).get(0))
                .distinct()
                .count();

        assertThat(owners).isEqualTo(35);
    }

    private static FleetSnapshot seenFrom(int index, List<Vm> fleet) {
        return new FleetSnapshot(fleet.get(index), fleet, Set.of());
    }
}
