package io.coppershelf.admission.internal;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.coppershelf.admission.GroupEvent.AttemptArrived;
import io.coppershelf.admission.GroupEvent.AttemptEnded;
import io.coppershelf.backend.BackendResult.ServerState;
import io.coppershelf.health.AttemptEnd;
import io.coppershelf.outcome.ErrorKind;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AdmissionInternalsTest {
    @Test
    void occupiesASlotFromDispatchToEnd() {
        SlotTable slots = new SlotTable();
        RunningAttempt running = new RunningAttempt(new AttemptArrived("try", "r", true, 1, 0, false), "a", 0);
        slots.occupy(running);
        assertThat(slots.inFlight("a")).isEqualTo(1);
        assertThrows(IllegalStateException.class, () -> slots.occupy(running));
        assertThat(slots.release("try")).hasValue(running);
        assertThat(slots.release("try")).isEmpty();
        assertThat(slots.inFlight("a")).isEqualTo(0);
    }

    @Test
    void pausesLongerForEachRefusalWithoutASuccess() {
        ShedBackoff backoff = new ShedBackoff();
        backoff.recordRefusal("a", 0);
        assertThat(backoff.isPaused("a", millis(9))).isTrue();
        assertThat(backoff.isPaused("a", millis(10))).isFalse();
        backoff.recordRefusal("a", millis(10));
        assertThat(backoff.isPaused("a", millis(29))).isTrue();
        backoff.recordSuccess("a");
        backoff.recordRefusal("a", millis(30));
        assertThat(backoff.isPaused("a", millis(40))).isFalse();
    }

    @Test
    void returnsALongerRetryDelayTheMoreIsRefused() {
        RetryAfterEstimate estimate = new RetryAfterEstimate(new Random(1));
        assertThat(estimate.retryAfter(0)).isAtMost(Duration.ofMillis(1_250));
        for (int refusal = 0; refusal < 500; refusal++) {
            estimate.recordDecision(false);
        }
        assertThat(estimate.retryAfter(millis(1_000))).isAtLeast(Duration.ofSeconds(10));
        assertThat(estimate.retryAfter(millis(60_000))).isEqualTo(Duration.ofSeconds(30));
    }

    @Test
    void estimatesTheRemainingTimeOfARunningAttempt() {
        MeanServiceTimes times = new MeanServiceTimes();
        times.record("r", millis(100));
        assertThat(times.meanNanos("r")).isEqualTo(millis(100));
        assertThat(times.meanNanos("unseen")).isEqualTo(millis(100));
        assertThat(times.residualNanos("r", millis(40))).isEqualTo(millis(60));
        assertThat(times.residualNanos("r", millis(400))).isEqualTo(millis(30));
    }

    @ParameterizedTest
    @CsvSource({
        "200, , READY, ANSWERED",
        "404, , READY, ANSWERED",
        "500, , READY, FAILED",
        "503, , SHEDDING, REFUSED",
        "503, , DRAINING, REFUSED",
        ", SERVER_LOST, UNSTATED, FAILED",
        ", ANSWER_TRUNCATED, UNSTATED, FAILED",
        ", ANSWER_FOREIGN, UNSTATED, FAILED",
        ", DEADLINE_PASSED, UNSTATED, TIMED_OUT",
        ", SERVER_REFUSED, SHEDDING, REFUSED",
        ", NO_SERVER, UNSTATED, NOT_CONNECTED",
        ", ANSWER_TOO_LARGE, UNSTATED, NEUTRAL"
    })
    void classifiesTheEndOfAnAttempt(Integer status, ErrorKind error, ServerState state, AttemptEnd end) {
        AttemptEnded ended = new AttemptEnded("try", Optional.ofNullable(status), Optional.ofNullable(error), state);
        assertThat(AttemptEndClassifier.classify(ended)).isEqualTo(end);
    }

    private static long millis(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
