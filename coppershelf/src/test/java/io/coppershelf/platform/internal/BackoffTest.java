package io.coppershelf.platform.internal;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BackoffTest {
    private final Backoff backoff = new Backoff(new Random(7));

    @Test
    void doesNotDelayBeforeAFailureOrAfterASuccess() {
        assertThat(backoff.remaining(0)).isEqualTo(Duration.ZERO);
        backoff.failed(0);
        backoff.succeeded();
        assertThat(backoff.remaining(0)).isEqualTo(Duration.ZERO);
    }

    @ParameterizedTest
    @CsvSource({"1, 200", "2, 400", "3, 800", "6, 5000", "100, 5000"})
    void doublesTheDelayUpToTheLimitAndRandomizesHalfOfIt(int failures, long millis) {
        for (int i = 0; i < failures; i++) {
            backoff.failed(0);
        }

        assertThat(backoff.remaining(0)).isAtLeast(Duration.ofMillis(millis / 2));
        assertThat(backoff.remaining(0)).isAtMost(Duration.ofMillis(millis));
        assertThat(backoff.remaining(Duration.ofMillis(millis).toNanos())).isEqualTo(Duration.ZERO);
    }
}
