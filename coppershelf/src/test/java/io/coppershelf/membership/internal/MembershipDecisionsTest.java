package io.coppershelf.membership.internal;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.coppershelf.membership.Vm;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiPredicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class MembershipDecisionsTest {
    private static final int SIZE = 36;
    private static final Set<String> ALL = names(0, SIZE);
    private static final long DETECTION_MILLIS = 15_000;

    private final FakeFleet fleet = new FakeFleet(SIZE, 7);

    @ParameterizedTest
    @CsvSource({"3, 0", "36, 0", "36, 0.2"})
    void findsAllVmsThroughOneSeed(int size, double lossProbability) {
        FakeFleet any = new FakeFleet(size, size);
        any.lossProbability = lossProbability;
        any.run(30_000);

        names(0, size).forEach(id -> assertThat(any.liveVmsSeenBy(id)).isEqualTo(names(0, size)));
    }

    @Test
    void marksAKilledVmAsGoneOnAllVms() {
        fleet.run(10_000);
        fleet.kill(FakeFleet.name(5));
        fleet.run(DETECTION_MILLIS);

        assertAllSee(without(ALL, 5), without(ALL, 5));
    }

    @Test
    void replacesARestartedVmByItsHigherIncarnation() {
        fleet.run(10_000);
        fleet.kill(FakeFleet.name(5));
        fleet.run(3_000);
        fleet.start(FakeFleet.name(5), 2);
        fleet.run(DETECTION_MILLIS);

        assertAllSee(ALL, ALL);
        ALL.forEach(id -> assertThat(
                        fleet.view(id).vm(FakeFleet.name(5)).orElseThrow().incarnation())
                .isEqualTo(2));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void marksOnlyAVmThatIsCutInOneDirectionAsGone(boolean isCutIn) {
        fleet.run(10_000);
        String cut = FakeFleet.name(9);
        fleet.delivers = (from, to) -> isCutIn ? !to.equals(cut) : !from.equals(cut);
        fleet.run(DETECTION_MILLIS);

        assertAllSee(without(ALL, 9), without(ALL, 9));
        assertThat(fleet.liveVmsSeenBy(cut)).isEqualTo(ALL);

        fleet.delivers = (from, to) -> true;
        fleet.run(60_000);
        assertAllSee(ALL, ALL);
    }

    @Test
    void keepsAVmThatOneOtherVmCanNotReach() {
        fleet.run(10_000);
        fleet.delivers = (from, to) -> !(from.equals(FakeFleet.name(1)) && to.equals(FakeFleet.name(2)));
        fleet.run(60_000);

        assertAllSee(ALL, ALL);
        assertThat(fleet.view(FakeFleet.name(1)).isReachable(FakeFleet.name(2))).isFalse();
        assertThat(fleet.view(FakeFleet.name(3)).isReachable(FakeFleet.name(2))).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {2_000, 30_000})
    void ignoresFailedProbesAfterItsOwnPause(int millis) {
        fleet.run(10_000);
        fleet.pause(FakeFleet.name(4), millis);
        fleet.run(millis + 50);
        for (int i = 0; i < 100; i++) {
            fleet.run(100);
            assertThat(fleet.liveVmsSeenBy(FakeFleet.name(4))).isEqualTo(ALL);
        }
        fleet.run(50_000);

        assertAllSee(ALL, ALL);
    }

    @Test
    void splitsIntoHalvesWithoutMajorityAndHeals() {
        fleet.run(10_000);
        Set<String> left = names(0, 18);
        BiPredicate<String, String> sameSide = (from, to) -> left.contains(from) == left.contains(to);
        fleet.delivers = sameSide;
        fleet.run(60_000);

        assertAllSee(left, left);
        assertAllSee(names(18, SIZE), names(18, SIZE));
        ALL.forEach(id -> assertThat(fleet.view(id).hasMajority()).isFalse());

        fleet.delivers = (from, to) -> true;
        fleet.run(60_000);
        assertAllSee(ALL, ALL);
        ALL.forEach(id -> assertThat(fleet.view(id).hasMajority()).isTrue());
    }

    @Test
    void placesNothingOnALeavingVm() {
        fleet.run(10_000);
        fleet.leave(FakeFleet.name(3));
        fleet.run(1_000);

        for (String id : ALL) {
            assertThat(fleet.view(id).vm(FakeFleet.name(3)).orElseThrow().leaving())
                    .isTrue();
            assertThat(fleet.view(id).ranked("key", "", SIZE)).hasSize(SIZE - 1);
        }
    }

    @Test
    void losesNoMajorityWhileAllVmsAreReplacedOneAfterAnother() {
        fleet.run(10_000);
        for (int i = 1; i < SIZE; i++) {
            fleet.leave(FakeFleet.name(i));
            fleet.start(FakeFleet.name(SIZE + i), 1);
            fleet.run(2_000);
            fleet.kill(FakeFleet.name(i));
        }
        fleet.run(DETECTION_MILLIS);

        Set<String> now = new TreeSet<>(names(SIZE + 1, 2 * SIZE));
        now.add(FakeFleet.name(0));
        assertAllSee(now, now);
        now.forEach(id -> assertThat(fleet.view(id).hasMajority()).isTrue());
    }

    @Test
    void marksAThirdOfTheVmsKilledAtOnceAsGone() {
        fleet.run(10_000);
        names(24, SIZE).forEach(fleet::kill);
        fleet.run(2 * DETECTION_MILLIS);

        assertAllSee(names(0, 24), names(0, 24));
        assertThat(fleet.view(FakeFleet.name(0)).hasMajority()).isTrue();
    }

    @Test
    void removesAVmThatANewerListDropsButNotAnOlderOne() {
        fleet.run(10_000);
        List<Vm> all = vms(ALL);
        List<Vm> rest = vms(without(ALL, 8));

        fleet.applyList(10, all, List.copyOf(ALL));
        fleet.applyList(9, rest, List.copyOf(ALL));
        assertThat(fleet.liveVmsSeenBy(FakeFleet.name(0))).isEqualTo(ALL);

        fleet.applyList(11, rest, List.of(FakeFleet.name(0)));
        fleet.run(10_000);
        assertAllSee(without(ALL, 8), without(ALL, 8));
    }

    @Test
    void ranksTheSameVmsOfOneListOnBothSidesOfASplit() {
        fleet.run(10_000);
        fleet.applyList(1, vms(ALL), List.of(FakeFleet.name(0)));
        fleet.run(10_000);
        fleet.delivers =
                (from, to) -> names(0, 18).contains(from) == names(0, 18).contains(to);
        fleet.run(60_000);

        List<Vm> left = fleet.view(FakeFleet.name(0)).rankedPublished("floor/rotavis", 5);
        assertThat(left).hasSize(5);
        ALL.forEach(id ->
                assertThat(fleet.view(id).rankedPublished("floor/rotavis", 5)).isEqualTo(left));
    }

    @Test
    void keepsVmsMissingFromAListMadeBeforeItsOwnStart() {
        fleet.run(10_000);
        List<String> reader = List.of(FakeFleet.name(0));
        fleet.applyList(10, vms(ALL), reader);
        fleet.applyList(11, vms(names(1, 4)), reader);

        assertThat(fleet.liveVmsSeenBy(FakeFleet.name(0))).isEqualTo(ALL);
    }

    @Test
    void findsTheIncarnationOfListedVms() {
        FakeFleet pair = new FakeFleet(3, 1);
        pair.delivers = (from, to) -> false;
        Vm listed = new Vm(FakeFleet.name(1), 0, "dc-1", "h", 1, 1, false);
        pair.applyList(1, List.of(pair.vm(FakeFleet.name(2)), listed), List.of(FakeFleet.name(2)));
        pair.delivers = (from, to) -> from.equals(FakeFleet.name(1)) || to.equals(FakeFleet.name(1));
        pair.run(5_000);

        assertThat(pair.view(FakeFleet.name(2))
                        .vm(FakeFleet.name(1))
                        .orElseThrow()
                        .incarnation())
                .isEqualTo(1);
    }

    @ParameterizedTest
    @ValueSource(ints = {12, 36, 108})
    void sendsABoundedNumberOfMessagesForEachFleetSize(int size) {
        FakeFleet any = new FakeFleet(size, 3);
        any.run(30_000);
        long before = any.messages;
        any.run(60_000);

        double perVmAndSecond = (any.messages - before) / 60.0 / size;
        assertWithMessage("messages sent by a VM in a second")
                .that(perVmAndSecond)
                .isAtMost(5.0);
    }

    private void assertAllSee(Set<String> observers, Set<String> expected) {
        observers.forEach(id -> assertWithMessage("seen by %s", id)
                .that(fleet.liveVmsSeenBy(id))
                .isEqualTo(expected));
    }

    private List<Vm> vms(Set<String> ids) {
        return ids.stream().map(fleet::vm).toList();
    }

    private static Set<String> names(int from, int to) {
        return IntStream.range(from, to).mapToObj(FakeFleet::name).collect(Collectors.toCollection(TreeSet::new));
    }

    private static Set<String> without(Set<String> ids, int... indexes) {
        Set<String> rest = new TreeSet<>(ids);
        Arrays.stream(indexes).mapToObj(FakeFleet::name).forEach(rest::remove);
        return rest;
    }
}
