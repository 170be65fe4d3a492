package io.coppershelf.floor.internal;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks that the grants never leave fewer servers than the floor under faults, and reach the floor after them. */
class FloorSafetyTest {
    private static final int SEEDS = 8;
    private static final FakeConfiguration CONFIGURATION = new FakeConfiguration(1, 14, 11, 0);
    private static final Duration WARM_UP = Duration.ofSeconds(35);
    private static final Duration RECOVERY = Duration.ofSeconds(60);

    static Stream<Arguments> faultsAndSeeds() {
        return Stream.of(Fault.values())
                .flatMap(
                        fault -> Stream.iterate(1, n -> n <= SEEDS, n -> n + 1).map(seed -> Arguments.of(fault, seed)));
    }

    @ParameterizedTest
    @MethodSource("faultsAndSeeds")
    void neverEjectsBelowTheFloorAndRecovers(Fault fault, int seed) {
        SimulatedFloorFleet fleet = new SimulatedFloorFleet(seed, 9, CONFIGURATION);
        fleet.run(WARM_UP);
        Random random = new Random(seed);
        for (int i = 0; i < 4; i++) {
            fault.inject(fleet, random);
            fleet.run(Duration.ofMillis(5_000 + random.nextInt(10_000)));
        }
        fleet.healNetwork();
        fleet.ids().forEach(id -> fleet.setVmList(id, fleet.ids(), Set.of()));
        fleet.run(RECOVERY);
        fleet.resetMaxOutOfService();
        fleet.run(Duration.ofSeconds(5));
        assertThat(fleet.maxOutOfService()).isEqualTo(3);
    }

    @Test
    void raisedFloorEndsAllGrantsAtOnceOnEachVmThatAppliesIt() {
        SimulatedFloorFleet fleet = new SimulatedFloorFleet(1, 9, CONFIGURATION);
        fleet.run(WARM_UP);
        FakeConfiguration raised = new FakeConfiguration(2, 14, 13, 0);
        fleet.ids().forEach(id -> fleet.configure(id, raised));
        assertThat(fleet.ejected()).isEmpty();
        fleet.setCheckedConfiguration(raised);
        fleet.run(RECOVERY);
        assertThat(fleet.maxOutOfService()).isAtLeast(1);
    }

    @Test
    void drainingServersCountAgainstTheFloor() {
        SimulatedFloorFleet fleet = new SimulatedFloorFleet(1, 9, new FakeConfiguration(1, 14, 11, 3));
        fleet.run(WARM_UP);
        assertThat(fleet.ejected()).doesNotContain(FakeConfiguration.server(7));
    }

    @Test
    void reportedServersCountAgainstTheFloorWhicheverVmIsGranter() {
        SimulatedFloorFleet fleet = new SimulatedFloorFleet(1, 9, CONFIGURATION);
        fleet.ids().forEach(id -> List.of(0, 1, 2).forEach(server -> fleet.reportDraining(id, server)));
        fleet.run(WARM_UP);
        assertThat(fleet.ejected()).containsNoneOf(FakeConfiguration.server(3), FakeConfiguration.server(9));
    }

    @ParameterizedTest
    @MethodSource("smallFleets")
    void smallFleetsGrantOnlyWithThreeVotersOrMore(int vms, boolean grants) {
        SimulatedFloorFleet fleet = new SimulatedFloorFleet(1, vms, CONFIGURATION);
        fleet.setLoss(0);
        fleet.run(WARM_UP);
        assertThat(fleet.maxOutOfService() > 0).isEqualTo(grants);
    }

    static Stream<Arguments> smallFleets() {
        return Stream.of(
                Arguments.of(1, false),
                Arguments.of(2, false),
                Arguments.of(3, true),
                Arguments.of(4, true),
                Arguments.of(36, true));
    }

    enum Fault {
        NONE {
            @Override
            void inject(SimulatedFloorFleet fleet, Random random) {}
        },
        LOSS {
            @Override
            void inject(SimulatedFloorFleet fleet, Random random) {
                fleet.setLoss(0.4);
            }
        },
        PAUSE {
            @Override
            void inject(SimulatedFloorFleet fleet, Random random) {
                fleet.pause(any(fleet, random), Duration.ofSeconds(30));
                fleet.pause(any(fleet, random), Duration.ofMillis(500 + random.nextInt(12_000)));
            }
        },
        RESTART {
            @Override
            void inject(SimulatedFloorFleet fleet, Random random) {
                fleet.restart(any(fleet, random));
                fleet.restart(any(fleet, random));
            }
        },
        CUT_ONE_WAY {
            @Override
            void inject(SimulatedFloorFleet fleet, Random random) {
                String isolated = any(fleet, random);
                boolean inbound = random.nextBoolean();
                fleet.ids().forEach(id -> fleet.cutLink(inbound ? id : isolated, inbound ? isolated : id));
            }
        },
        SPLIT {
            @Override
            void inject(SimulatedFloorFleet fleet, Random random) {
                fleet.healNetwork();
                int at = 1 + random.nextInt(fleet.ids().size() - 1);
                List<String> left = fleet.ids().subList(0, at);
                List<String> right = fleet.ids().subList(at, fleet.ids().size());
                left.forEach(a -> right.forEach(b -> {
                    fleet.cutLink(a, b);
                    fleet.cutLink(b, a);
                }));
                left.forEach(id -> fleet.setVmList(id, fleet.ids(), Set.copyOf(right)));
                right.forEach(id -> fleet.setVmList(id, fleet.ids(), Set.copyOf(left)));
            }
        },
        TWO_LISTS {
            @Override
            void inject(SimulatedFloorFleet fleet, Random random) {
                List<String> shorter =
                        fleet.ids().subList(random.nextInt(3), fleet.ids().size());
                fleet.ids().forEach(id -> fleet.setVmList(id, random.nextBoolean() ? shorter : fleet.ids(), Set.of()));
            }
        },
        ALL {
            @Override
            void inject(SimulatedFloorFleet fleet, Random random) {
                Fault[] others = {LOSS, PAUSE, RESTART, CUT_ONE_WAY, SPLIT, TWO_LISTS};
                others[random.nextInt(others.length)].inject(fleet, random);
                others[random.nextInt(others.length)].inject(fleet, random);
            }
        };

        abstract void inject(SimulatedFloorFleet fleet, Random random);

        private static String any(SimulatedFloorFleet fleet, Random random) {
            return fleet.ids().get(random.nextInt(fleet.ids().size()));
        }
    }
}
