package io.coppershelf.bench.decisions;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ServiceSimulationTest {
    private static final long END_NANOS = 20 * Units.SECONDS;

    private static RunResult run(Fault fault, Policy policy) {
        ServiceProfile docdesk = Customer.SYRMATOURGIA.services().get(2);
        return ServiceSimulation.run(new RunSpec(docdesk, fault, 0.4, policy, 1, END_NANOS));
    }

    @Test
    void givesTheSameFiguresForTheSameSeed() {
        RunResult first = run(Fault.STALL, Policy.COPPERSHELF);
        RunResult second = run(Fault.STALL, Policy.COPPERSHELF);
        assertThat(first.latencyMillis).isEqualTo(second.latencyMillis);
        assertThat(first.detectionSeconds).isEqualTo(second.detectionSeconds);
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void executesNothingTwiceAndReportsNoWrongOutcomeUnderAnyFault(Fault fault) {
        RunResult result = run(fault, Policy.COPPERSHELF);
        assertThat(result.requests).isGreaterThan(0);
        assertThat(result.executedTwice).isEqualTo(0);
        assertThat(result.wrongOutcome).isEqualTo(0);
        assertThat(result.lowestAboveFloor).isAtLeast(0);
    }

    @ParameterizedTest
    @EnumSource(Policy.class)
    void answersMostRequestsInTimeWithEveryPolicy(Policy policy) {
        assertThat(run(Fault.NONE, policy).shareInTime()).isGreaterThan(0.5);
    }
}
