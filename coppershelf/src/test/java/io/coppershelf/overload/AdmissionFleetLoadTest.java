package io.coppershelf.overload;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.stream.Stream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The overloads of {@link AdmissionLoadTest} whose runs do not fit into the time and the memory of the build, with the
 * same bounds; listed in KNOWN-RED.txt.
 */
@Tag("known-red")
final class AdmissionFleetLoadTest {
    static Stream<Arguments> overloads() {
        return AdmissionLoadTest.overloads().filter(run -> !AdmissionLoadTest.isRunInTheBuild(run));
    }

    /**
     * Guards against lost credit, inversions of urgency, starved kinds and late refusals in other fleets and bursts.
     */
    @ParameterizedTest(name = "{0}")
    @MethodSource("overloads")
    void boundsOfOverloadHold(String name, OverloadScenario scenario) {
        RunResult result = RunResult.of(scenario, 1);
        assertWithMessage(name + ": " + result).that(result.creditShare()).isAtLeast(0.95);
        assertWithMessage(name + ": " + result).that(result.worstInversion()).isAtMost(0.05);
        assertWithMessage(name + ": " + result).that(result.refusedWithRoom()).isEqualTo(0);
        assertWithMessage(name + ": " + result)
                .that(result.smallestPartOfCommonShare())
                .isAtLeast(0.25);
        assertWithMessage(name + ": " + result).that(result.refusalMillis()).isAtMost(50.0);
    }
}
