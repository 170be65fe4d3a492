package io.coppershelf.health.internal;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

class TypicalServiceTimesTest {
    private static final String ROUTE = "rotavis/week";
    private static final long MILLI = Duration.ofMillis(1).toNanos();

    private final TypicalServiceTimes typicalTimes = new TypicalServiceTimes();

    @Test
    void isNotMovedByOneSlowServerOfThree() {
        recordTimes("a", 50);
        recordTimes("b", 55);
        recordTimes("c", 5_000);
        assertThat(Math.exp(typicalTimes.typical(ROUTE).orElseThrow().logMean()))
                .isWithin(1e6)
                .of(55e6);
        assertThat(typicalTimes.ownMedians()).containsKey(ROUTE);
    }

    @Test
    void findsTheSlowOneOfTwoServersByReportsOfOtherOwners() {
        recordTimes("a", 50);
        recordTimes("b", 500);
        typicalTimes.recordReported("vm-2", Map.of(ROUTE, 50 * MILLI), 0);
        typicalTimes.recordReported("vm-3", Map.of(ROUTE, 52 * MILLI), 0);
        assertThat(typicalTimes.typicalOfPeers(ROUTE, "a").orElseThrow().deviation(50 * MILLI))
                .isLessThan(0.1);
        assertThat(typicalTimes.typicalOfPeers(ROUTE, "b").orElseThrow().deviation(500 * MILLI))
                .isGreaterThan(2.0);
    }

    @Test
    void removesServersAndExpiresOldReports() {
        recordTimes("a", 50);
        typicalTimes.recordReported("vm-2", Map.of(ROUTE, 50 * MILLI), 0);
        typicalTimes.remove("a");
        assertThat(typicalTimes.typical(ROUTE)).isPresent();
        typicalTimes.expireReported(Duration.ofSeconds(11).toNanos());
        assertThat(typicalTimes.typical(ROUTE)).isEmpty();
    }

    private void recordTimes(String server, int millis) {
        for (int sample = 0; sample < 10; sample++) {
            typicalTimes.record(server, ROUTE, millis * MILLI);
        }
    }
}
