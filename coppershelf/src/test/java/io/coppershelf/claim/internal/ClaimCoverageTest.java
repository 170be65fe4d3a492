package io.coppershelf.claim.internal;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.floor.internal.FakeFleetView;
import io.coppershelf.membership.Vm;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** A holder accepts keys only if it can know all attempts of the window. */
class ClaimCoverageTest {
    private static final long SETTLED = ClaimLimits.SETTLING_TIME.toNanos();
    private static final long WINDOW = ClaimLimits.WINDOW.toNanos();
    private static final Vm SELF = FakeFleetView.vm("self", 100);

    private final List<Vm> list = new ArrayList<>(List.of(SELF));

    private FakeFleetView view() {
        return new FakeFleetView(SELF, List.copyOf(list), Set.of());
    }

    private ClaimCoverage startAmong(int peers) {
        IntStream.range(0, peers).mapToObj(i -> FakeFleetView.vm("vm" + i, 50)).forEach(list::add);
        return new ClaimCoverage(view(), 0);
    }

    private static void pull(ClaimCoverage history, int peers, boolean knowing, List<String> lost) {
        IntStream.range(0, peers).forEach(i -> history.onPullComplete("vm" + i, knowing, lost));
    }

    @Test
    void isCompleteWhenAllButThreePeersHaveAnswered() {
        ClaimCoverage history = startAmong(9);
        pull(history, 5, true, List.of());
        assertThat(history.isComplete(SETTLED)).isFalse();
        assertThat(history.peersToPull(SETTLED)).containsExactly("vm5", "vm6", "vm7", "vm8");
        pull(history, 6, true, List.of());
        assertThat(history.isComplete(SETTLED - 1)).isFalse();
        assertThat(history.isComplete(SETTLED)).isTrue();
    }

    @Test
    void waitsOutTheWindowWhenMoreThanThreeVmsWereLost() {
        ClaimCoverage history = startAmong(9);
        pull(history, 9, true, List.of("x", "y", "z", "self"));
        assertThat(history.isComplete(WINDOW - 1)).isFalse();
        assertThat(history.isComplete(WINDOW)).isTrue();
    }

    @Test
    void newStartOfALostVmStandsForItOnlyOnceItKnows() {
        ClaimCoverage history = startAmong(6);
        List<String> lost = List.of("vm0", "vm1", "vm2", "self");
        pull(history, 3, false, List.of());
        IntStream.range(3, 6).forEach(i -> history.onPullComplete("vm" + i, true, lost));
        assertThat(history.isComplete(SETTLED)).isFalse();
        assertThat(history.peersToPull(SETTLED)).containsExactly("vm0", "vm1", "vm2");
        history.onPullComplete("vm1", true, List.of());
        assertThat(history.isComplete(SETTLED)).isTrue();
    }

    @Test
    void firstStartOfAWholeFleetIsCompleteOnceAllHaveAnswered() {
        ClaimCoverage history = startAmong(35);
        pull(history, 35, false, List.of());
        assertThat(history.isComplete(SETTLED)).isTrue();
    }

    @Test
    void vmThatOnlyTheListHasNamedIsNotLostWhenItIsHeardOf() {
        IntStream.range(0, 9).mapToObj(i -> FakeFleetView.vm("vm" + i, 0)).forEach(list::add);
        ClaimCoverage history = new ClaimCoverage(view(), 0);
        list.replaceAll(vm -> vm.equals(SELF) ? SELF : FakeFleetView.vm(vm.id(), 100_000));
        history.onFleet(view(), 1);
        assertThat(history.lostVms(2)).isEmpty();
        assertThat(history.isComplete(2 * SETTLED)).isTrue();
    }

    @Test
    void vmThatOnlyTheListHasNamedIsLostWhenItLeavesTheList() {
        list.add(FakeFleetView.vm("vm0", 0));
        ClaimCoverage history = new ClaimCoverage(view(), 0);
        list.remove(1);
        history.onFleet(view(), 1);
        assertThat(history.lostVms(2)).containsExactly("vm0");
    }

    @Test
    void learnsOfElderVmsLater() {
        ClaimCoverage history = startAmong(0);
        assertThat(history.isComplete(SETTLED)).isTrue();
        IntStream.range(0, 4).mapToObj(i -> FakeFleetView.vm("vm" + i, 50)).forEach(list::add);
        history.onFleet(view(), SETTLED);
        assertThat(history.isComplete(2 * SETTLED)).isFalse();
    }

    @Test
    void newHolderDoesNotAcceptBeforeTheOthersHaveToldIt() {
        ClaimCoverage history = startAmong(9);
        pull(history, 9, true, List.of());
        String key = IntStream.iterate(0, i -> i + 1)
                .mapToObj(i -> "k" + i)
                .filter(k -> view().ranked("claim/" + k, "", 6).get(5).equals(SELF))
                .findFirst()
                .orElseThrow();
        list.remove(view().ranked("claim/" + key, "", 1).get(0));
        history.onFleet(view(), 2 * SETTLED);
        assertThat(history.covers(key, 3 * SETTLED - 1)).isFalse();
        assertThat(history.covers(key, 3 * SETTLED)).isTrue();
    }

    @Test
    void refusesForOneWindowTheKeysWhoseHoldersWereNearlyAllLost() {
        ClaimCoverage history = startAmong(9);
        pull(history, 9, true, List.of());
        FakeFleetView before = view();
        Set<String> lost = Set.of("vm0", "vm1", "vm2", "vm3");
        list.removeIf(vm -> lost.contains(vm.id()));
        history.onFleet(view(), SETTLED);
        List<String> keys = IntStream.range(0, 200).mapToObj(i -> "k" + i).toList();
        List<String> damaged = keys.stream()
                .filter(key -> ClaimCoverage.holders(before, key).containsAll(lost))
                .toList();
        assertThat(damaged).isNotEmpty();
        assertThat(keys.stream().filter(key -> !history.covers(key, WINDOW)).toList())
                .isEqualTo(damaged);
        assertThat(history.lostVms(WINDOW)).containsExactlyElementsIn(lost);
        assertThat(keys.stream().allMatch(key -> history.covers(key, WINDOW + SETTLED)))
                .isTrue();
    }

    @Test
    void leavingVmsCountAsHandedOver() {
        Vm leaving = new Vm("l", 1, "herning", "127.0.0.1", 1, 2, true);
        list.add(leaving);
        ClaimCoverage history = startAmong(3);
        list.remove(leaving);
        history.onFleet(view(), 1);
        assertThat(history.lostVms(1)).isEmpty();
    }
}
