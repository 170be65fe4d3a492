package io.coppershelf.dispatch;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.RequestKind;
import io.coppershelf.catalog.Route;
import io.coppershelf.catalog.WeightedService;
import io.coppershelf.testing.Catalogs;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Pattern: a route is split, and each of many VMs sees only a few of its requests. */
final class WeightedRoundRobinTest {
    private final Route route = Catalogs.route(
            RequestKind.REPEATABLE,
            List.of(new WeightedService("a", 90), new WeightedService("b", 10), new WeightedService("c", 0)));

    @Test
    void manyVmsWithFewRequestsKeepToTheWeightsTogether() {
        Random random = new Random(3);
        int forB = 0;
        for (int vm = 0; vm < 100; vm++) {
            WeightedRoundRobin split = new WeightedRoundRobin(random);
            for (int i = 0; i < 4; i++) {
                forB += split.next(route).equals("b") ? 1 : 0;
            }
        }
        assertThat(forB).isAtLeast(20);
        assertThat(forB).isAtMost(60);
    }

    @Test
    void oneVmKeepsToTheWeights() {
        WeightedRoundRobin split = new WeightedRoundRobin(new Random(3));
        int forB = 0;
        for (int i = 0; i < 1000; i++) {
            forB += split.next(route).equals("b") ? 1 : 0;
        }
        assertThat(forB).isAtLeast(98);
        assertThat(forB).isAtMost(102);
    }

    @Test
    void partWithoutWeightGetsNothing() {
        WeightedRoundRobin split = new WeightedRoundRobin(new Random(3));
        for (int i = 0; i < 1000; i++) {
            assertThat(split.next(route)).isNotEqualTo("c");
        }
    }
}
