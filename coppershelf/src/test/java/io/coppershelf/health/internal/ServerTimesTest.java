package io.coppershelf.health.internal;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.health.internal.PathCheck.Verdict;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ServerTimesTest {
    @Test
    void holdsLongerForEachEjectionThatFollowsSoon() {
        HoldTime holdTime = new HoldTime();
        assertThat(holdTime.hasHistory()).isFalse();
        assertThat(holdTime.eject(0)).isEqualTo(Duration.ofSeconds(5));
        assertThat(holdTime.eject(0)).isEqualTo(Duration.ofSeconds(10));
        assertThat(holdTime.hasHistory()).isTrue();
        for (int ejection = 0; ejection < 10; ejection++) {
            holdTime.eject(0);
        }
        assertThat(holdTime.eject(0)).isEqualTo(Duration.ofMinutes(5));
    }

    @Test
    void holdsShorterAgainAfterGoodService() {
        HoldTime holdTime = new HoldTime();
        holdTime.eject(0);
        holdTime.recover(Duration.ofSeconds(59).toNanos());
        assertThat(holdTime.hasHistory()).isTrue();
        holdTime.recover(Duration.ofSeconds(60).toNanos());
        assertThat(holdTime.hasHistory()).isFalse();
    }

    @ParameterizedTest
    @CsvSource({"6, 0, 2", "6, 5, 4", "6, 10, 6", "2, 0, 1", "2, 10, 2"})
    void rampsTheSlotsOfAColdServer(int slots, int seconds, int allowed) {
        ColdStart coldStart = new ColdStart();
        assertThat(coldStart.allowedSlots(slots, 0)).isEqualTo(slots);
        coldStart.begin(0);
        assertThat(coldStart.allowedSlots(slots, Duration.ofSeconds(seconds).toNanos()))
                .isEqualTo(allowed);
    }

    @Test
    void doesNotBelieveForeverThatAServerIsCold() {
        ColdStart coldStart = new ColdStart();
        coldStart.begin(0);
        assertThat(coldStart.stateCold()).isTrue();
        assertThat(coldStart.isOver(Duration.ofSeconds(59).toNanos())).isFalse();
        assertThat(coldStart.isOver(Duration.ofSeconds(60).toNanos())).isTrue();
        assertThat(coldStart.stateCold()).isFalse();
        coldStart.stateReady();
        assertThat(coldStart.stateCold()).isTrue();
    }

    @Test
    void asksForTheRightOnceASecondAndRenewsItAtHalfItsTime() {
        EjectionRight right = new EjectionRight();
        assertThat(right.shouldAsk(0)).isTrue();
        assertThat(right.shouldAsk(seconds(0.9))).isFalse();
        right.grant(seconds(1), seconds(5));
        assertThat(right.shouldAsk(seconds(2.9))).isFalse();
        assertThat(right.shouldAsk(seconds(3))).isTrue();
        assertThat(right.isHeld(seconds(4.9))).isTrue();
        assertThat(right.isHeld(seconds(5))).isFalse();
    }

    @Test
    void doesNotAskSoonAfterARevocation() {
        EjectionRight right = new EjectionRight();
        right.grant(0, seconds(5));
        right.revoke(seconds(1));
        assertThat(right.isHeld(seconds(1))).isFalse();
        assertThat(right.shouldAsk(seconds(5))).isFalse();
        assertThat(right.shouldAsk(seconds(6))).isTrue();
    }

    @ParameterizedTest
    @CsvSource({
        "false, false, false, UNKNOWN",
        "true, false, false, BROKEN",
        "true, true, false, BROKEN",
        "true, false, true, DOWN",
        "true, true, true, BROKEN"
    })
    void tellsABrokenPathFromAServerThatIsDown(
            boolean probeFailed, boolean othersReach, boolean othersFail, Verdict verdict) {
        PathCheck path = new PathCheck();
        if (probeFailed) {
            path.probeFailed();
        }
        if (othersReach) {
            path.heard(true, 0);
        }
        if (othersFail) {
            path.heard(false, 0);
        }
        assertThat(path.verdict(0)).isEqualTo(verdict);
        path.answered();
        assertThat(path.verdict(0)).isEqualTo(Verdict.CLEAR);
    }

    private static long seconds(double seconds) {
        return (long) (seconds * 1e9);
    }
}
