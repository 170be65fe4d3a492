package io.coppershelf.health.internal;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.health.internal.PathCheck.State;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ServerStateTest {
    @Test
    void doublesTheEjectionThatFollowsSoonAfterAnother() {
        EjectionBackoff backoff = new EjectionBackoff();
        assertThat(backoff.wasRecentlyEjected()).isFalse();
        assertThat(backoff.nextDuration(0)).isEqualTo(Duration.ofSeconds(5));
        assertThat(backoff.nextDuration(0)).isEqualTo(Duration.ofSeconds(10));
        assertThat(backoff.wasRecentlyEjected()).isTrue();
        for (int ejection = 0; ejection < 10; ejection++) {
            backoff.nextDuration(0);
        }
        assertThat(backoff.nextDuration(0)).isEqualTo(Duration.ofMinutes(5));
    }

    @Test
    void shortensTheEjectionAfterHealthyService() {
        EjectionBackoff backoff = new EjectionBackoff();
        backoff.nextDuration(0);
        backoff.recordHealthy(Duration.ofSeconds(59).toNanos());
        assertThat(backoff.wasRecentlyEjected()).isTrue();
        backoff.recordHealthy(Duration.ofSeconds(60).toNanos());
        assertThat(backoff.wasRecentlyEjected()).isFalse();
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
    void ignoresReportsOfAServerThatStaysColdForTooLong() {
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
    void requestsTheGrantOnceASecondAndRenewsItAtHalfItsTime() {
        EjectionGrant grant = new EjectionGrant();
        assertThat(grant.shouldRequest(0)).isTrue();
        assertThat(grant.shouldRequest(seconds(0.9))).isFalse();
        grant.grant(seconds(1), seconds(5));
        assertThat(grant.shouldRequest(seconds(2.9))).isFalse();
        assertThat(grant.shouldRequest(seconds(3))).isTrue();
        assertThat(grant.isHeld(seconds(4.9))).isTrue();
        assertThat(grant.isHeld(seconds(5))).isFalse();
    }

    @Test
    void doesNotRequestTheGrantSoonAfterARevocation() {
        EjectionGrant grant = new EjectionGrant();
        grant.grant(0, seconds(5));
        grant.revoke(seconds(1));
        assertThat(grant.isHeld(seconds(1))).isFalse();
        assertThat(grant.shouldRequest(seconds(5))).isFalse();
        assertThat(grant.shouldRequest(seconds(6))).isTrue();
    }

    @ParameterizedTest
    @CsvSource({
        "false, false, false, UNKNOWN",
        "true, false, false, BROKEN",
        "true, true, false, BROKEN",
        "true, false, true, DOWN",
        "true, true, true, BROKEN"
    })
    void distinguishesABrokenPathFromAServerThatIsDown(
            boolean probeFailed, boolean othersReach, boolean othersFail, State state) {
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
        assertThat(path.state(0)).isEqualTo(state);
        path.recordAnswer();
        assertThat(path.state(0)).isEqualTo(State.CLEAR);
    }

    private static long seconds(double seconds) {
        return (long) (seconds * 1e9);
    }
}
