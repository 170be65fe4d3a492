package io.coppershelf.health.internal;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StallDetectorTest {
    private static final String ROUTE = "rotavis/week";
    private static final long TYPICAL = Duration.ofMillis(50).toNanos();

    private final TypicalServiceTimes typicalTimes = new TypicalServiceTimes();

    @BeforeEach
    void recordTypicalTimes() {
        for (int sample = 0; sample < 20; sample++) {
            typicalTimes.record("a", ROUTE, TYPICAL);
        }
    }

    @ParameterizedTest
    @CsvSource({"1, 1, 0, 1", "1, 4, 5, 9", "2, 4, 9, 15", "6, 4, 25, 35", "1, 1000, 13, 13", "6, 1, 0, 6"})
    void growsWithTheAgeAndTheNumberOfAttemptsInFlight(int attempts, int timesTypical, double least, double most) {
        MonitoredAttempt attempt = new MonitoredAttempt("try", ROUTE, true, 0, 0);
        double evidence = StallDetector.evidence(
                Collections.nCopies(attempts, attempt), typicalTimes, 1.0, timesTypical * TYPICAL);
        assertThat(evidence).isAtLeast(least);
        assertThat(evidence).isAtMost(most);
    }

    @Test
    void findsNothingInTimesBelowTheResolution() {
        TypicalServiceTime veryShort = new TypicalServiceTime(Math.log(1e6), 0.3);
        TypicalServiceTime atTheResolution = new TypicalServiceTime(Math.log(25e6), 0.3);
        long age = Duration.ofMillis(24).toNanos();
        assertThat(veryShort.deviation(age)).isEqualTo(0.0);
        assertThat(veryShort.surprisal(10 * age)).isWithin(1e-9).of(atTheResolution.surprisal(10 * age));
    }

    @Test
    void isWeakerForAnAttemptThatWasOvertaken() {
        MonitoredAttempt attempt = new MonitoredAttempt("try", ROUTE, true, 0, 0);
        double before = StallDetector.evidence(List.of(attempt), typicalTimes, 1.0, 10 * TYPICAL);
        attempt.recordOvertaken();
        assertThat(StallDetector.evidence(List.of(attempt), typicalTimes, 1.0, 10 * TYPICAL))
                .isWithin(1e-9)
                .of(before - 2);
    }

    @Test
    void isWeakerForAColdServer() {
        MonitoredAttempt attempt = new MonitoredAttempt("try", ROUTE, true, 0, 0);
        assertThat(StallDetector.evidence(List.of(attempt), typicalTimes, ColdStart.SLOWNESS, 8 * TYPICAL))
                .isLessThan(1.0);
    }

    @Test
    void findsNoEvidenceInUnknownRoutesAndIgnoredAttempts() {
        MonitoredAttempt unknown = new MonitoredAttempt("a", "rotavis/claim", true, 0, 0);
        MonitoredAttempt ignored = new MonitoredAttempt("b", ROUTE, true, 0, 0);
        ignored.ignore();
        assertThat(StallDetector.evidence(List.of(unknown, ignored), typicalTimes, 1.0, 100 * TYPICAL))
                .isEqualTo(0.0);
    }
}
