package io.coppershelf.dispatch;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.RequestKind;
import io.coppershelf.catalog.Route;
import io.coppershelf.catalog.WeightedService;
import io.coppershelf.testing.Catalogs;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Scenario: the requests of a route are split among services, and each of many VMs receives only a few of them. */
final class WeightedRoundRobinTest {
    private final Route route = Catalogs.route(
            RequestKind.REPEATABLE,
            List.of(new WeightedService("a", 90), new WeightedService("b", 10), new WeightedService("c", 0)));

    @Test
    void manyVmsWithFewRequestsMatchTheWeightsTogether() {
        Random random = new Random(3);
        int forB = 0;
        for (int vm = 0; vm < 100; vm++) {
            WeightedRoundRobin roundRobin = new WeightedRoundRobin(random);
            for (int i = 0; i < 4; i++) {
                forB += roundRobin.next(route).equals("b") ? 1 : 0;
            }
        }
        assertThat(forB).isAtLeast(20);
        assertThat(forB).isAtMost(60);
    }

    @Test
    void oneVmMatchesTheWeights() {
        WeightedRoundRobin roundRobin = new WeightedRoundRobin(new Random(3));
        int forB = 0;
        for (int i = 0; i < 1000; i++) {
            forB += roundRobin.next(route).equals("b") ? 1 : 0;
        }
        assertThat(forB).isAtLeast(98);
        assertThat(forB).isAtMost(102);
    }

    @Test
    void serviceWithoutWeightGetsNothing() {
        WeightedRoundRobin roundRobin = new WeightedRoundRobin(new Random(3));
        for (int i = 0; i < 1000; i++) {
            assertThat(roundRobin.next(route)).isNotEqualTo("c");
        }
    }
}
