package io.coppershelf.routing.internal;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.admission.AttemptResult;
import io.coppershelf.admission.AttemptResult.GroupLoad;
import io.coppershelf.admission.GroupName;
import io.coppershelf.outcome.ErrorKind;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class GroupSelectorTest {
    private static final GroupName HERNING = new GroupName("rotavis", "herning");
    private static final GroupName VIBORG = new GroupName("rotavis", "viborg");
    private static final GroupName ODENSE = new GroupName("rotavis", "odense");

    @ParameterizedTest
    @CsvSource({"0, 0, herning", "5, 5, herning", "6, 5, viborg", "1, 0, viborg"})
    void prefersOwnDataCentreUnlessItsWaitIsWorse(long here, long there, String expected) {
        GroupSelector selector = new GroupSelector("herning", new Random(1));

        Optional<GroupName> selected =
                selector.select(List.of(VIBORG, HERNING), group -> group.equals(HERNING) ? here : there);

        assertThat(selected.map(GroupName::dataCentre)).hasValue(expected);
    }

    @Test
    void neverSelectsTheWorstOfThreeAndSpreadsOverTheOthers() {
        GroupSelector selector = new GroupSelector("vejle", new Random(1));
        Map<GroupName, Integer> counts = new HashMap<>();
        for (int i = 0; i < 1_000; i++) {
            GroupName selected = selector.select(
                            List.of(HERNING, VIBORG, ODENSE), group -> group.equals(ODENSE) ? 9 : 0)
                    .orElseThrow();
            counts.merge(selected, 1, Integer::sum);
        }

        assertThat(counts.keySet()).containsExactly(HERNING, VIBORG);
        assertThat(counts.get(HERNING)).isGreaterThan(300);
        assertThat(counts.get(VIBORG)).isGreaterThan(300);
    }

    @Test
    void selectsNothingWithoutCandidate() {
        assertThat(new GroupSelector("vejle", new Random(1)).select(List.of(), group -> 0))
                .isEmpty();
    }

    @Test
    void expiresLoadsAfterASecond() {
        GroupLoadCache loads = new GroupLoadCache();
        AttemptResult full = AttemptResult.failed(ErrorKind.SERVER_LOST).withLoad(new GroupLoad(0, 7_000_000));
        loads.record(HERNING, full, 0);
        loads.record(VIBORG, AttemptResult.failed(ErrorKind.OVERLOADED).withLoad(new GroupLoad(3, 0)), 0);

        assertThat(loads.expectedWaitNanos(HERNING, 0)).isEqualTo(8_000_000);
        assertThat(loads.expectedWaitNanos(VIBORG, 0)).isEqualTo(1_000_000_000);
        loads.record(VIBORG, AttemptResult.failed(ErrorKind.OVERLOADED).withLoad(new GroupLoad(0, 3_000_000_000L)), 0);
        assertThat(loads.expectedWaitNanos(VIBORG, 0)).isEqualTo(3_001_000_000L);
        assertThat(loads.expectedWaitNanos(ODENSE, 0)).isEqualTo(0);
        assertThat(loads.expectedWaitNanos(HERNING, Duration.ofSeconds(2).toNanos()))
                .isEqualTo(0);
    }

    @Test
    void limitsRetriesToATenthOfFirstAttempts() {
        ServiceRetryBudget budget = new ServiceRetryBudget();
        int spent = 0;
        for (int i = 0; i < 10_000; i++) {
            budget.recordFirstAttempt();
            spent += budget.trySpend() ? 1 : 0;
        }

        assertThat(spent).isAtLeast(1_000);
        assertThat(spent).isAtMost(1_005);
    }

    @Test
    void estimatesTheLatencyPercentile() {
        LatencyPercentile percentile = new LatencyPercentile();
        Random random = new Random(3);
        assertThat(percentile.estimateNanos()).isEmpty();
        for (int i = 0; i < 20_000; i++) {
            percentile.record(1_000_000 + random.nextInt(9_000_000));
        }

        assertThat(percentile.estimateNanos().orElseThrow()).isGreaterThan(8_000_000);
        assertThat(percentile.estimateNanos().orElseThrow()).isLessThan(10_500_000);
    }
}
