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
    private static final long USUAL = Duration.ofMillis(50).toNanos();

    private final TypicalServiceTimes usualTimes = new TypicalServiceTimes();

    @BeforeEach
    void learnUsualTimes() {
        for (int sample = 0; sample < 20; sample++) {
            usualTimes.record("a", ROUTE, USUAL);
        }
    }

    @ParameterizedTest
    @CsvSource({"1, 1, 0, 1", "1, 4, 5, 9", "2, 4, 9, 15", "6, 4, 25, 35", "1, 1000, 13, 13", "6, 1, 0, 6"})
    void growsWithTheAgeAndTheNumberOfTriesInFlight(int tries, int timesUsual, double least, double most) {
        MonitoredAttempt watched = new MonitoredAttempt("try", ROUTE, true, 0, 0);
        double evidence =
                StallDetector.evidence(Collections.nCopies(tries, watched), usualTimes, 1.0, timesUsual * USUAL);
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
    void isWeakerForATryThatWasOvertaken() {
        MonitoredAttempt watched = new MonitoredAttempt("try", ROUTE, true, 0, 0);
        double before = StallDetector.evidence(List.of(watched), usualTimes, 1.0, 10 * USUAL);
        watched.recordOvertaken();
        assertThat(StallDetector.evidence(List.of(watched), usualTimes, 1.0, 10 * USUAL))
                .isWithin(1e-9)
                .of(before - 2);
    }

    @Test
    void isWeakerForAColdServer() {
        MonitoredAttempt watched = new MonitoredAttempt("try", ROUTE, true, 0, 0);
        assertThat(StallDetector.evidence(List.of(watched), usualTimes, ColdStart.SLOWNESS, 8 * USUAL))
                .isLessThan(1.0);
    }

    @Test
    void saysNothingOfUnknownKindsAndIgnoredTries() {
        MonitoredAttempt unknown = new MonitoredAttempt("a", "rotavis/claim", true, 0, 0);
        MonitoredAttempt ignored = new MonitoredAttempt("b", ROUTE, true, 0, 0);
        ignored.ignore();
        assertThat(StallDetector.evidence(List.of(unknown, ignored), usualTimes, 1.0, 100 * USUAL))
                .isEqualTo(0.0);
    }
}
