package io.coppershelf.health.internal;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

class TypicalServiceTimesTest {
    private static final String ROUTE = "rotavis/week";
    private static final long MILLI = Duration.ofMillis(1).toNanos();

    private final TypicalServiceTimes usualTimes = new TypicalServiceTimes();

    @Test
    void isNotMovedByOneSlowServerOfThree() {
        learn("a", 50);
        learn("b", 55);
        learn("c", 5_000);
        assertThat(Math.exp(usualTimes.typical(ROUTE).orElseThrow().logMean()))
                .isWithin(1e6)
                .of(55e6);
        assertThat(usualTimes.ownMedians()).containsKey(ROUTE);
    }

    @Test
    void knowsWhichOfTwoServersIsSlowFromOtherOwners() {
        learn("a", 50);
        learn("b", 500);
        usualTimes.recordReported("vm-2", Map.of(ROUTE, 50 * MILLI), 0);
        usualTimes.recordReported("vm-3", Map.of(ROUTE, 52 * MILLI), 0);
        assertThat(usualTimes.typicalOfPeers(ROUTE, "a").orElseThrow().deviation(50 * MILLI))
                .isLessThan(0.1);
        assertThat(usualTimes.typicalOfPeers(ROUTE, "b").orElseThrow().deviation(500 * MILLI))
                .isGreaterThan(2.0);
    }

    @Test
    void forgetsServersAndOldFigures() {
        learn("a", 50);
        usualTimes.recordReported("vm-2", Map.of(ROUTE, 50 * MILLI), 0);
        usualTimes.remove("a");
        assertThat(usualTimes.typical(ROUTE)).isPresent();
        usualTimes.expireReported(Duration.ofSeconds(11).toNanos());
        assertThat(usualTimes.typical(ROUTE)).isEmpty();
    }

    private void learn(String server, int millis) {
        for (int sample = 0; sample < 10; sample++) {
            usualTimes.record(server, ROUTE, millis * MILLI);
        }
    }
}
