package io.coppershelf.health.internal;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class ObservedClockTest {
    private final ObservedClock clock = new ObservedClock();

    @Test
    void countsGapsUpToALimit() {
        clock.advance(Duration.ofSeconds(100).toNanos());
        clock.advance(Duration.ofSeconds(100).plusMillis(50).toNanos());
        assertThat(clock.observedNanos()).isEqualTo(Duration.ofMillis(50).toNanos());
        clock.advance(Duration.ofSeconds(130).toNanos());
        assertThat(clock.observedNanos()).isEqualTo(Duration.ofMillis(110).toNanos());
    }
}
