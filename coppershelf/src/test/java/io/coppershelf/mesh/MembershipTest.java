package io.coppershelf.mesh;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class MembershipTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    /** Half of the time between the start of the VMs and the first callers. */
    private static final long JOINED = 6 * SECOND;

    private static final long ROUND = 400 * TimeUnit.MILLISECONDS.toNanos(1);

    @Test
    void vmsThatKnowOnlyTheSeedsDiscoverEachOtherWithinSeconds() {
        List<Membership> fleet = fleet(36, 3);
        long now = run(fleet, fleet, 0, JOINED);
        for (Membership vm : fleet) {
            assertThat(vm.live(now)).hasSize(35);
        }
    }

    @Test
    void silentVmsAreConsideredDownAndTheOthersStay() {
        List<Membership> fleet = fleet(36, 3);
        long now = run(fleet, fleet, 0, JOINED);
        List<Membership> rest = fleet.subList(0, 20);
        now = run(fleet, rest, now, now + 15 * SECOND);
        for (Membership vm : rest) {
            assertThat(vm.live(now)).hasSize(19);
        }
    }

    @Test
    void fleetSizeShrinksOnlyLongAfterVmsAreDown() {
        List<Membership> fleet = fleet(10, 3);
        long now = run(fleet, fleet, 0, JOINED);
        long later = run(fleet, fleet.subList(0, 5), now, now + 10 * SECOND);
        assertThat(fleet.get(0).fleetSize(later)).isEqualTo(10);
    }

    @Test
    void vmThatHasJustStartedAssumesALargeFleet() {
        Membership vm = new Membership(address(1), "here", 1, List.of(), new Random(1), 0);
        assertThat(vm.fleetSize(SECOND)).isEqualTo(Membership.ASSUMED_FLEET_SIZE);
        assertThat(vm.fleetSize(Membership.JOINING_NANOS)).isEqualTo(1);
    }

    /** Guards against VMs that start together and all take the first turn at a server that limits its requests. */
    @Test
    void vmsThatStartTogetherTakeDifferentRanks() {
        Set<Integer> ranks = new HashSet<>();
        for (Membership vm : fleet(36, 3)) {
            ranks.add(vm.position(0, SECOND).rank());
            assertThat(vm.position(7, Membership.JOINING_NANOS).rank()).isEqualTo(7);
        }
        assertThat(ranks.size()).isAtLeast(20);
    }

    /** Guards against receivers, relays and token lenders that are kept from an earlier state of the fleet. */
    @Test
    void whatIsKeptOfTheLiveVmsChangesWithEachOfThem() {
        Membership vm = new Membership(address(1), "here", 1, List.of(), new Random(1), 0);
        merge(vm, new MemberEntry(address(2), "here", 1, 1, false, 7202, false), 0);
        merge(vm, new MemberEntry(address(3), "here", 1, 1, false, 7203, false), SECOND);
        assertThat(vm.relays(SECOND)).containsExactly(address(7202), address(7203));
        assertThat(vm.quotaView(SECOND).incarnations()).containsEntry(address(3), 1L);
        assertThat(vm.quotaView(2 * SECOND)).isSameInstanceAs(vm.quotaView(2 * SECOND));

        merge(vm, new MemberEntry(address(3), "here", 1, 2, false, 7203, true), 2 * SECOND);
        assertThat(vm.relays(2 * SECOND)).containsExactly(address(7202));

        merge(vm, new MemberEntry(address(3), "here", 2, 3, false, 7203, false), 3 * SECOND);
        assertThat(vm.quotaView(3 * SECOND).incarnations()).containsEntry(address(3), 2L);

        merge(vm, new MemberEntry(address(3), "here", 2, 4, true, 7203, false), 4 * SECOND);
        assertThat(vm.quotaView(4 * SECOND).incarnations()).doesNotContainKey(address(3));

        assertThat(vm.audience(Membership.DOWN_NANOS).all()).containsExactly(address(2), address(3));
        assertThat(vm.audience(Membership.DOWN_NANOS + 1).all()).containsExactly(address(3));
        vm.recordContact(address(3), 9 * SECOND);
        assertThat(vm.live(9 * SECOND + Membership.DOWN_NANOS)).containsExactly(address(3));
        assertThat(vm.live(9 * SECOND + Membership.DOWN_NANOS + 1)).isEmpty();
    }

    /** Guards against the wrong order where the ages of the entries decide which ones are sent. */
    @Test
    void entriesOfTheMostRecentlyHeardVmsAreSentFirst() {
        Membership vm = new Membership(address(1), "here", 1, List.of(), new Random(1), 0);
        IntStream.range(0, 30)
                .forEach(i -> merge(vm, new MemberEntry(address(10 + i), "here", 1, 1, false), i * SECOND / 10));
        List<InetSocketAddress> sent = vm.nextEntries(false, 3 * SECOND).stream()
                .map(MemberEntry::address)
                .toList();
        List<InetSocketAddress> expected = new ArrayList<>(List.of(address(1)));
        IntStream.range(0, 16).forEach(i -> expected.add(address(39 - i)));
        assertThat(sent).containsExactlyElementsIn(expected).inOrder();
    }

    private static void merge(Membership vm, MemberEntry entry, long nowNanos) {
        vm.merge(List.of(entry), nowNanos);
    }

    /** Guards against requests that are handed to a VM which reaches no server either, or is about to stop. */
    @Test
    void requestsAreHandedToVmsThatReachServersAndStay() {
        Membership vm = new Membership(address(1), "here", 1, List.of(), new Random(1), 0);
        vm.merge(
                List.of(
                        new MemberEntry(address(2), "here", 1, 1, false, 7202, false),
                        new MemberEntry(address(3), "here", 1, 1, false, 7203, true),
                        new MemberEntry(address(4), "here", 1, 1, true, 7204, false),
                        new MemberEntry(address(5), "there", 1, 1, false, 7205, false),
                        new MemberEntry(address(6), "there", 1, 1, false, 0, false)),
                0);
        assertThat(vm.relays(0)).containsExactly(address(7202), address(7205));
        vm.merge(List.of(new MemberEntry(address(3), "here", 1, 2, false, 7203, false)), 0);
        assertThat(vm.relays(0)).containsExactly(address(7202), address(7203));
        assertThat(vm.relays(Membership.DOWN_NANOS + SECOND)).isEmpty();
    }

    @Test
    void vmWhoseClockWasSetBackBeforeItsRestartIsAccepted() {
        InetSocketAddress restarted = address(2);
        Membership vm = new Membership(address(1), "here", 1, List.of(), new Random(1), 0);
        vm.merge(List.of(new MemberEntry(restarted, "here", 60_000, 900, true)), 0);
        assertThat(vm.merge(List.of(new MemberEntry(restarted, "here", 1, 1, false)), Membership.DOWN_NANOS + SECOND))
                .isTrue();
        assertThat(vm.live(Membership.DOWN_NANOS + SECOND)).containsExactly(restarted);
    }

    @Test
    void allVmsAgreeOnTheirOrder() {
        List<Membership> fleet = fleet(12, 3);
        long now = run(fleet, fleet, 0, JOINED);
        List<Integer> ranks = fleet.stream().map(vm -> vm.rank(now)).sorted().toList();
        assertThat(ranks).isEqualTo(IntStream.range(0, 12).boxed().toList());
    }

    @Test
    void restartedVmReplacesItsFormerIncarnation() {
        Membership vm = new Membership(address(1), "here", 1, List.of(), new Random(1), 0);
        vm.merge(List.of(new MemberEntry(address(2), "here", 5, 100, false)), 0);
        assertThat(vm.merge(List.of(new MemberEntry(address(2), "here", 6, 1, false)), 20 * SECOND))
                .isTrue();
        assertThat(vm.live(20 * SECOND)).containsExactly(address(2));
    }

    /** Exchanges messages among the running VMs until the given time; to the others they are lost. */
    private static long run(List<Membership> fleet, List<Membership> running, long startNanos, long endNanos) {
        long now = startNanos;
        for (; now < endNanos; now += ROUND) {
            for (Membership vm : running) {
                long time = now;
                vm.nextGossipTarget(now).ifPresent(target -> {
                    Membership member = fleet.get(target.getPort() - 1);
                    if (running.contains(member)) {
                        boolean hasNew = member.merge(vm.nextEntries(false, time), time);
                        vm.merge(member.nextEntries(hasNew, time), time);
                    }
                });
            }
        }
        return now;
    }

    private static List<Membership> fleet(int size, int seedCount) {
        List<InetSocketAddress> seeds = IntStream.rangeClosed(1, seedCount)
                .mapToObj(MembershipTest::address)
                .toList();
        List<Membership> fleet = new ArrayList<>();
        for (int i = 1; i <= size; i++) {
            fleet.add(new Membership(address(i), "here", 1, seeds, new Random(i), 0));
        }
        return fleet;
    }

    private static InetSocketAddress address(int number) {
        return new InetSocketAddress("127.0.0.1", number);
    }
}
