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
        EjectionBackoff holdTime = new EjectionBackoff();
        assertThat(holdTime.wasRecentlyEjected()).isFalse();
        assertThat(holdTime.nextDuration(0)).isEqualTo(Duration.ofSeconds(5));
        assertThat(holdTime.nextDuration(0)).isEqualTo(Duration.ofSeconds(10));
        assertThat(holdTime.wasRecentlyEjected()).isTrue();
        for (int ejection = 0; ejection < 10; ejection++) {
            holdTime.nextDuration(0);
        }
        assertThat(holdTime.nextDuration(0)).isEqualTo(Duration.ofMinutes(5));
    }

    @Test
    void holdsShorterAgainAfterGoodService() {
        EjectionBackoff holdTime = new EjectionBackoff();
        holdTime.nextDuration(0);
        holdTime.recordHealthy(Duration.ofSeconds(59).toNanos());
        assertThat(holdTime.wasRecentlyEjected()).isTrue();
        holdTime.recordHealthy(Duration.ofSeconds(60).toNanos());
        assertThat(holdTime.wasRecentlyEjected()).isFalse();
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
        assertThat(coldStart.reportCold()).isTrue();
        assertThat(coldStart.isOver(Duration.ofSeconds(59).toNanos())).isFalse();
        assertThat(coldStart.isOver(Duration.ofSeconds(60).toNanos())).isTrue();
        assertThat(coldStart.reportCold()).isFalse();
        coldStart.reportReady();
        assertThat(coldStart.reportCold()).isTrue();
    }

    @Test
    void asksForTheRightOnceASecondAndRenewsItAtHalfItsTime() {
        EjectionRight right = new EjectionRight();
        assertThat(right.shouldRequest(0)).isTrue();
        assertThat(right.shouldRequest(seconds(0.9))).isFalse();
        right.grant(seconds(1), seconds(5));
        assertThat(right.shouldRequest(seconds(2.9))).isFalse();
        assertThat(right.shouldRequest(seconds(3))).isTrue();
        assertThat(right.isHeld(seconds(4.9))).isTrue();
        assertThat(right.isHeld(seconds(5))).isFalse();
    }

    @Test
    void doesNotAskSoonAfterARevocation() {
        EjectionRight right = new EjectionRight();
        right.grant(0, seconds(5));
        right.revoke(seconds(1));
        assertThat(right.isHeld(seconds(1))).isFalse();
        assertThat(right.shouldRequest(seconds(5))).isFalse();
        assertThat(right.shouldRequest(seconds(6))).isTrue();
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
            path.recordProbeFailure();
        }
        if (othersReach) {
            path.recordPeerReport(true, 0);
        }
        if (othersFail) {
            path.recordPeerReport(false, 0);
        }
        assertThat(path.verdict(0)).isEqualTo(verdict);
        path.recordAnswer();
        assertThat(path.verdict(0)).isEqualTo(Verdict.CLEAR);
    }

    private static long seconds(double seconds) {
        return (long) (seconds * 1e9);
    }
}
