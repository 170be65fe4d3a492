package io.coppershelf.ticket.internal.spread;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.coppershelf.ticket.ObjectKey;
import io.coppershelf.ticket.ObjectState;
import io.coppershelf.ticket.ObjectType;
import io.coppershelf.ticket.ServiceSpec;
import io.coppershelf.ticket.Ticket;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class TicketSpreadTest {
    private static final int SIZE = 36;
    private static final long TARGET_MILLIS = 5_000;
    private static final long REPAIR_MILLIS = 30_000;

    private final FakeSpreadFleet fleet = new FakeSpreadFleet(SIZE, 11);

    @ParameterizedTest
    @CsvSource({"1, 0", "2, 0", "36, 0", "36, 0.1"})
    void bringsATicketIntoForceEverywhereWithinTheTarget(int size, double lossRate) {
        FakeSpreadFleet any = new FakeSpreadFleet(size, size);
        any.published.add(floor(1, 5));
        settle(any);
        any.lossRate = lossRate;
        any.published.add(floor(2, 6));

        assertThat(any.runUntil(isInForce(2, 6), lossRate == 0 ? TARGET_MILLIS : REPAIR_MILLIS))
                .isTrue();
    }

    @Test
    void pullsEachTicketAboutOncePerVm() {
        settle(fleet);
        fleet.pulls = 0;
        IntStream.rangeClosed(1, 20).forEach(number -> fleet.published.add(floor(number, number)));

        assertThat(fleet.runUntil(isInForce(20, 20), TARGET_MILLIS)).isTrue();
        fleet.run(REPAIR_MILLIS);
        assertThat(fleet.pulls).isAtMost(20L * SIZE);
    }

    @Test
    void keepsTheHigherNumberWhateverTheOrderGapsAndRepeats() {
        settle(fleet);
        List<Ticket> tickets = Stream.concat(
                        IntStream.of(3, 5, 9, 12).mapToObj(number -> floor(number, number)),
                        IntStream.of(3, 9, 12).mapToObj(number -> floor(number, number)))
                .collect(Collectors.toList());
        Collections.shuffle(tickets, new Random(4));
        tickets.forEach(ticket -> {
            fleet.published.add(ticket);
            fleet.run(50);
        });

        assertThat(fleet.runUntil(isInForce(12, 12), TARGET_MILLIS)).isTrue();
        fleet.run(REPAIR_MILLIS);
        assertAll(isInForce(12, 12));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void neverRevertsWhenThePlatformGoesStaleOrIsRestored(int laterVisibleCount) {
        publishThree();
        fleet.visibleCount = laterVisibleCount;
        fleet.run(400_000);
        assertAll(isInForce(3, 30));

        fleet.published.subList(laterVisibleCount, 3).clear();
        fleet.visibleCount = Integer.MAX_VALUE;
        fleet.published.add(floor(4, 40));
        assertThat(fleet.runUntil(isInForce(4, 40), REPAIR_MILLIS)).isTrue();
    }

    @Test
    void startsFromPeersAloneWhileThePlatformIsUnavailable() {
        publishThree();
        fleet.reachesPlatform = id -> false;
        fleet.start("vm-36");

        assertThat(fleet.runUntil(TicketSpread::isReady, TARGET_MILLIS)).isTrue();
        assertAll(isInForce(3, 30));
    }

    @Test
    void startsFromPeersWhileThePlatformIsStale() {
        publishThree();
        fleet.visibleCount = 1;
        fleet.start("vm-36");
        FakeSpreadFleet.Node started = fleet.nodes.get("vm-36");
        while (!started.spread.isReady()) {
            fleet.run(10);
        }

        assertThat(isInForce(3, 30).test(started.spread)).isTrue();
    }

    @Test
    void doesNotServeAloneWithoutPeersAndPlatform() {
        FakeSpreadFleet one = new FakeSpreadFleet(1, 1);
        one.reachesPlatform = id -> false;

        assertThat(one.runUntil(TicketSpread::isReady, 60_000)).isFalse();
    }

    @Test
    void doesNotServeWhilePeersAreUnreachable() {
        publishThree();
        fleet.visibleCount = 1;
        fleet.passes = (from, to) -> !from.equals("vm-36") && !to.equals("vm-36");
        fleet.start("vm-36");
        fleet.run(60_000);

        assertThat(fleet.nodes.get("vm-36").spread.isReady()).isFalse();
    }

    @Test
    void losesNoTicketWhenAllVmsAreReplacedDuringAPlatformOutage() {
        publishThree();
        fleet.reachesPlatform = id -> false;
        for (int i = 0; i < SIZE; i++) {
            fleet.start("vm-" + (SIZE + i));
            fleet.stop("vm-" + i);
            fleet.run(2_000);
        }

        assertThat(fleet.runUntil(TicketSpread::isReady, TARGET_MILLIS)).isTrue();
        assertAll(isInForce(3, 30));
    }

    @Test
    void losesNoTicketWhenAThirdOfTheVmsIsReplacedAtOnce() {
        publishThree();
        fleet.reachesPlatform = id -> false;
        IntStream.range(0, 12).forEach(i -> fleet.stop("vm-" + i));
        IntStream.range(0, 12).forEach(i -> fleet.start("vm-" + (SIZE + i)));

        assertThat(fleet.runUntil(TicketSpread::isReady, TARGET_MILLIS)).isTrue();
        assertAll(isInForce(3, 30));
    }

    @Test
    void agreesOnOneOfTwoContentsUnderOneNumberAndReportsTheConflict() {
        settle(fleet);
        fleet.published.add(floor(7, 70));
        fleet.run(5);
        fleet.published.add(floor(7, 71));
        fleet.run(TARGET_MILLIS);

        Set<Long> digests = fleet.nodes.values().stream()
                .map(node -> node.spread.configuration().digest())
                .collect(Collectors.toSet());
        assertThat(digests).hasSize(1);
        assertThat(fleet.alarms).containsExactly(7L);
    }

    @Test
    void keepsRemovalsWhenEarlierTicketsArriveLater() {
        settle(fleet);
        ObjectKey key = new ObjectKey(ObjectType.SERVICE, "rotavis");
        fleet.published.add(new Ticket(5, List.of(ObjectState.removed(key))));
        fleet.run(1_000);
        fleet.published.add(floor(4, 4));
        fleet.run(REPAIR_MILLIS);

        assertAll(spread -> spread.configuration().service("rotavis").isEmpty()
                && spread.configuration().ticketNumber() == 5);
    }

    @ParameterizedTest
    @ValueSource(strings = {"one data centre hears nothing", "one data centre is not heard", "halves"})
    void convergesAfterNetworkPartitionsHeal(String partition) {
        settle(fleet);
        BiPredicate<String, String> passes =
                switch (partition) {
                    case "one data centre hears nothing" -> (from, to) -> isIn(1, from) || !isIn(1, to);
                    case "one data centre is not heard" -> (from, to) -> !isIn(1, from) || isIn(1, to);
                    default -> (from, to) -> number(from) < SIZE / 2 == number(to) < SIZE / 2;
                };
        fleet.passes = passes;
        fleet.reachesPlatform = id -> number(id) >= SIZE / 2 && !isIn(1, id);
        fleet.published.add(floor(1, 10));
        fleet.run(60_000);
        fleet.passes = (from, to) -> true;

        assertThat(fleet.runUntil(isInForce(1, 10), REPAIR_MILLIS)).isTrue();
    }

    @Test
    void otherVmsReadThePlatformWhenAllWatchersLoseIt() {
        settle(fleet);
        Set<String> watchers = IntStream.range(0, 4)
                .boxed()
                .flatMap(dc -> fleet.nodes.get("vm-0").view().ranked("ticket-watch/dc-" + dc, "dc-" + dc, 2).stream())
                .map(vm -> vm.id())
                .collect(Collectors.toSet());
        fleet.reachesPlatform = id -> !watchers.contains(id);
        fleet.run(60_000);
        fleet.published.add(floor(1, 10));

        assertThat(fleet.runUntil(isInForce(1, 10), 20_000)).isTrue();
    }

    @Test
    void readsThePlatformAtABoundedRate() {
        settle(fleet);
        long before = fleet.platformReads;
        fleet.run(60_000);
        double watched = (fleet.platformReads - before) / 60.0;
        fleet.reachesPlatform = id -> false;
        fleet.run(60_000);
        before = fleet.platformReads;
        fleet.run(60_000);
        double unavailable = (fleet.platformReads - before) / 60.0;

        assertWithMessage("calls a second of 8 watchers").that(watched).isAtMost(8.0);
        assertWithMessage("calls a second while away").that(unavailable).isAtMost(20.0);
    }

    private void publishThree() {
        settle(fleet);
        IntStream.rangeClosed(1, 3).forEach(number -> fleet.published.add(floor(number, 10 * number)));
        assertThat(fleet.runUntil(isInForce(3, 30), TARGET_MILLIS)).isTrue();
    }

    private static void settle(FakeSpreadFleet any) {
        assertThat(any.runUntil(TicketSpread::isReady, 10_000)).isTrue();
    }

    private void assertAll(Predicate<TicketSpread> condition) {
        fleet.nodes.forEach((id, node) ->
                assertWithMessage(id).that(condition.test(node.spread)).isTrue());
    }

    private static Predicate<TicketSpread> isInForce(long number, int floor) {
        return spread -> spread.configuration().ticketNumber() == number
                && spread.configuration()
                        .service("rotavis")
                        .filter(service -> service.floor() == floor)
                        .isPresent();
    }

    private static Ticket floor(long number, int floor) {
        return new Ticket(number, List.of(ObjectState.present(new ServiceSpec("rotavis", floor, 0.5))));
    }

    private static int number(String id) {
        return Integer.parseInt(id.substring(3));
    }

    private static boolean isIn(int dataCentre, String id) {
        return number(id) % 4 == dataCentre;
    }
}
