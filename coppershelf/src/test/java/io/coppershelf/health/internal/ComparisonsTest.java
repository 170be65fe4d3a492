package io.coppershelf.health.internal;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ComparisonsTest {
    private static final TypicalServiceTime TYPICAL = new TypicalServiceTime(Math.log(50e6), 0.5);

    @ParameterizedTest
    @CsvSource({"3, 20, 8", "5, 20, 4", "20, 20, 3"})
    void findsASlowServerInFewAnswers(double slowness, double limit, int mostAnswers) {
        LatencyComparison comparison = new LatencyComparison();
        int answers = 0;
        while (comparison.evidence() < limit && answers < 100) {
            comparison.record((long) (50e6 * slowness), TYPICAL, 0);
            answers++;
        }
        assertThat(answers).isAtMost(mostAnswers * 2);
    }

    @Test
    void findsNoEvidenceInTypicalServiceTimes() {
        LatencyComparison comparison = new LatencyComparison();
        for (int answer = 0; answer < 1_000; answer++) {
            comparison.record((long) (answer % 2 == 0 ? 30e6 : 80e6), TYPICAL, 0);
        }
        assertThat(comparison.evidence()).isLessThan(1.0);
    }

    @Test
    void decaysWithoutAnswers() {
        LatencyComparison comparison = new LatencyComparison();
        comparison.set(20, 0);
        comparison.decay(Duration.ofSeconds(30).toNanos());
        assertThat(comparison.evidence()).isWithin(1e-9).of(10);
    }

    @ParameterizedTest
    @CsvSource({"1.0, 0.0, true", "0.5, 0.0, true", "0.01, 0.0, false", "0.5, 0.5, false"})
    void findsErrorsThatPeersDoNotHave(double share, double rateOfPeers, boolean isFound) {
        ErrorComparison comparison = new ErrorComparison();
        for (int answer = 1; answer <= 200; answer++) {
            boolean error = Math.floor(answer * share) > Math.floor((answer - 1) * share);
            comparison.record("rotavis/week", error, rateOfPeers, 0);
            comparison.record("rotavis/claim", false, rateOfPeers, 0);
        }
        assertThat(comparison.evidence() > 20).isEqualTo(isFound);
    }

    @Test
    void returnsTheErrorRateOfPeersOnly() {
        ErrorRates rates = new ErrorRates();
        for (int answer = 0; answer < 100; answer++) {
            rates.record("a", "rotavis/week", true);
            rates.record("b", "rotavis/week", false);
        }
        assertThat(rates.rateOfPeers("rotavis/week", "a")).isEqualTo(0.0);
        assertThat(rates.rateOfPeers("rotavis/week", "b")).isGreaterThan(0.9);
        rates.remove("a");
        assertThat(rates.rateOfPeers("rotavis/week", "b")).isEqualTo(0.0);
    }
}
