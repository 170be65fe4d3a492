package io.coppershelf.overload;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.stream.Stream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** The runs of {@link AdmissionLoadTest} that miss their bounds; each is listed in KNOWN-RED.txt. */
@Tag("known-red")
final class AdmissionShortfallTest {
    static Stream<Arguments> shortOfCredit() {
        return AdmissionLoadTest.overloads().filter(KnownShortfalls::isShortOfCredit);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("shortOfCredit")
    void creditInTimeIsCloseToThatOfAPlannerThatKnowsAllArrivals(String name, OverloadScenario scenario) {
        RunResult result = AdmissionLoadTest.run(name, scenario);
        assertWithMessage(name + ": " + result).that(result.creditShare()).isAtLeast(0.95);
    }

    static Stream<Arguments> refusedWithRoom() {
        return AdmissionLoadTest.overloads().filter(KnownShortfalls::isRefusedWithRoom);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("refusedWithRoom")
    void nothingIsRefusedWhileSlotsAreFree(String name, OverloadScenario scenario) {
        RunResult result = AdmissionLoadTest.run(name, scenario);
        assertWithMessage(name + ": " + result).that(result.refusedWithRoom()).isEqualTo(0);
    }

    static Stream<Arguments> refused() {
        return AdmissionLoadTest.customersWithRoom().filter(KnownShortfalls::isRefused);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("refused")
    void nothingIsRefusedAtFourFifthsOfTheSlots(String name, OverloadScenario scenario) {
        RunResult result = AdmissionLoadTest.run(name, scenario);
        assertWithMessage(name + ": " + result).that(result.refused(0)).isEqualTo(0);
    }

    static Stream<Arguments> slowToRecover() {
        return AdmissionLoadTest.passingCauses().filter(KnownShortfalls::isSlowToRecover);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("slowToRecover")
    void serviceIsBackToNormalTwoSecondsAfterTheCauseIsGone(String name, OverloadScenario scenario, long fromNanos) {
        RunResult result = AdmissionLoadTest.run(name, scenario);
        assertWithMessage(name + ": " + result).that(result.refused(fromNanos)).isEqualTo(0);
    }

    /** Guards against control that makes a fault worse: servers with free slots refuse 0.55 of the requests unread. */
    @Test
    void asMuchIsServedAsWithoutControlWhileServersRefuseUnread() {
        OverloadScenario scenario = OverloadScenario.first(0.8).withFault(0.55, 0);
        RunResult controlled = RunResult.of(scenario, true, 1);
        assertWithMessage(controlled.toString())
                .that(controlled.served())
                .isAtLeast(RunResult.of(scenario, false, 1).served());
        assertWithMessage(controlled.toString())
                .that(controlled.served(0))
                .isAtLeast(Math.max(controlled.served(1), controlled.served(2)));
    }
}
