package io.coppershelf.claim.internal;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.floor.internal.FakeFleetView;
import io.coppershelf.membership.Vm;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests that a holder accepts claims only if it has all claim records of the window. */
class ClaimCoverageTest {
    private static final long SETTLED_NANOS = ClaimLimits.SETTLING_TIME.toNanos();
    private static final long WINDOW_NANOS = ClaimLimits.WINDOW.toNanos();
    private static final Vm SELF = FakeFleetView.vm("self", 100);

    private final List<Vm> list = new ArrayList<>(List.of(SELF));

    private FakeFleetView view() {
        return new FakeFleetView(SELF, List.copyOf(list), Set.of());
    }

    private ClaimCoverage startAmong(int peers) {
        IntStream.range(0, peers).mapToObj(i -> FakeFleetView.vm("vm" + i, 50)).forEach(list::add);
        return new ClaimCoverage(view(), 0);
    }

    private static void completePulls(ClaimCoverage coverage, int peers, boolean historyKnown, List<String> lost) {
        IntStream.range(0, peers).forEach(i -> coverage.onPullComplete("vm" + i, historyKnown, lost));
    }

    @Test
    void isCompleteAfterPullsFromAllButThreePeers() {
        ClaimCoverage coverage = startAmong(9);
        completePulls(coverage, 5, true, List.of());
        assertThat(coverage.isComplete(SETTLED_NANOS)).isFalse();
        assertThat(coverage.peersToPull(SETTLED_NANOS)).containsExactly("vm5", "vm6", "vm7", "vm8");
        completePulls(coverage, 6, true, List.of());
        assertThat(coverage.isComplete(SETTLED_NANOS - 1)).isFalse();
        assertThat(coverage.isComplete(SETTLED_NANOS)).isTrue();
    }

    @Test
    void waitsOutTheWindowWhenMoreThanThreeVmsWereLost() {
        ClaimCoverage coverage = startAmong(9);
        completePulls(coverage, 9, true, List.of("x", "y", "z", "self"));
        assertThat(coverage.isComplete(WINDOW_NANOS - 1)).isFalse();
        assertThat(coverage.isComplete(WINDOW_NANOS)).isTrue();
    }

    @Test
    void restartedVmReplacesItsLostIncarnationOnlyAfterItsOwnRecovery() {
        ClaimCoverage coverage = startAmong(6);
        List<String> lost = List.of("vm0", "vm1", "vm2", "self");
        completePulls(coverage, 3, false, List.of());
        IntStream.range(3, 6).forEach(i -> coverage.onPullComplete("vm" + i, true, lost));
        assertThat(coverage.isComplete(SETTLED_NANOS)).isFalse();
        assertThat(coverage.peersToPull(SETTLED_NANOS)).containsExactly("vm0", "vm1", "vm2");
        coverage.onPullComplete("vm1", true, List.of());
        assertThat(coverage.isComplete(SETTLED_NANOS)).isTrue();
    }

    @Test
    void firstStartOfAFleetIsCompleteAfterPullsFromAllPeers() {
        ClaimCoverage coverage = startAmong(35);
        completePulls(coverage, 35, false, List.of());
        assertThat(coverage.isComplete(SETTLED_NANOS)).isTrue();
    }

    @Test
    void vmKnownOnlyFromTheListIsNotLostWhenItsIncarnationBecomesKnown() {
        IntStream.range(0, 9).mapToObj(i -> FakeFleetView.vm("vm" + i, 0)).forEach(list::add);
        ClaimCoverage coverage = new ClaimCoverage(view(), 0);
        list.replaceAll(vm -> vm.equals(SELF) ? SELF : FakeFleetView.vm(vm.id(), 100_000));
        coverage.onFleet(view(), 1);
        assertThat(coverage.lostVms(2)).isEmpty();
        assertThat(coverage.isComplete(2 * SETTLED_NANOS)).isTrue();
    }

    @Test
    void vmKnownOnlyFromTheListIsLostWhenItIsRemovedFromTheList() {
        list.add(FakeFleetView.vm("vm0", 0));
        ClaimCoverage coverage = new ClaimCoverage(view(), 0);
        list.remove(1);
        coverage.onFleet(view(), 1);
        assertThat(coverage.lostVms(2)).containsExactly("vm0");
    }

    @Test
    void isNotCompleteWhenEarlierStartedVmsAreFoundLater() {
        ClaimCoverage coverage = startAmong(0);
        assertThat(coverage.isComplete(SETTLED_NANOS)).isTrue();
        IntStream.range(0, 4).mapToObj(i -> FakeFleetView.vm("vm" + i, 50)).forEach(list::add);
        coverage.onFleet(view(), SETTLED_NANOS);
        assertThat(coverage.isComplete(2 * SETTLED_NANOS)).isFalse();
    }

    @Test
    void newHolderDoesNotAcceptClaimsDuringTheSettlingTime() {
        ClaimCoverage coverage = startAmong(9);
        completePulls(coverage, 9, true, List.of());
        String key = IntStream.iterate(0, i -> i + 1)
                .mapToObj(i -> "k" + i)
                .filter(k -> view().ranked("claim/" + k, "", 6).get(5).equals(SELF))
                .findFirst()
                .orElseThrow();
        list.remove(view().ranked("claim/" + key, "", 1).get(0));
        coverage.onFleet(view(), 2 * SETTLED_NANOS);
        assertThat(coverage.covers(key, 3 * SETTLED_NANOS - 1)).isFalse();
        assertThat(coverage.covers(key, 3 * SETTLED_NANOS)).isTrue();
    }

    @Test
    void doesNotCoverForOneWindowTheKeysWhoseHoldersWereNearlyAllLost() {
        ClaimCoverage coverage = startAmong(9);
        completePulls(coverage, 9, true, List.of());
        FakeFleetView before = view();
        Set<String> lost = Set.of("vm0", "vm1", "vm2", "vm3");
        list.removeIf(vm -> lost.contains(vm.id()));
        coverage.onFleet(view(), SETTLED_NANOS);
        List<String> keys = IntStream.range(0, 200).mapToObj(i -> "k" + i).toList();
        List<String> affected = keys.stream()
                .filter(key -> ClaimCoverage.holders(before, key).containsAll(lost))
                .toList();
        assertThat(affected).isNotEmpty();
        assertThat(keys.stream()
                        .filter(key -> !coverage.covers(key, WINDOW_NANOS))
                        .toList())
                .isEqualTo(affected);
        assertThat(coverage.lostVms(WINDOW_NANOS)).containsExactlyElementsIn(lost);
        assertThat(keys.stream().allMatch(key -> coverage.covers(key, WINDOW_NANOS + SETTLED_NANOS)))
                .isTrue();
    }

    @Test
    void vmsThatLeaveAreNotLost() {
        Vm leaving = new Vm("l", 1, "herning", "127.0.0.1", 1, 2, true);
        list.add(leaving);
        ClaimCoverage coverage = startAmong(3);
        list.remove(leaving);
        coverage.onFleet(view(), 1);
        assertThat(coverage.lostVms(1)).isEmpty();
    }
}
