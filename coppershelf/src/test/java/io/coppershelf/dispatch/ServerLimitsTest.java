package io.coppershelf.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class ServerLimitsTest {
    private static final long NOW = 7;

    private final ServerLimits limits = new ServerLimits();

    @Test
    void newLimitAndItsEndAreReportedOnce() {
        assertThat(limits.record(1, Optional.of(2.5), NOW)).isTrue();
        assertThat(limits.record(1, Optional.of(2.5), NOW)).isFalse();
        assertThat(limits.limit(1)).hasValue(new ServerLimits.Limit(2.5, NOW));
        assertThat(limits.record(1, Optional.empty(), NOW)).isTrue();
        assertThat(limits.record(1, Optional.empty(), NOW)).isFalse();
        assertThat(limits.limit(1)).isEmpty();
    }

    /** Guards against a message to the whole fleet for each answer of a server whose limit varies a little. */
    @Test
    void smallDifferenceIsNotReported() {
        limits.record(1, Optional.of(10.0), NOW);
        assertThat(limits.record(1, Optional.of(10.4), NOW)).isFalse();
        assertThat(limits.record(1, Optional.of(12.0), NOW)).isTrue();
    }

    @Test
    void serverWithALimitOfZeroIsStillTriedSometimes() {
        limits.record(1, Optional.of(0.0), NOW);
        assertThat(limits.limit(1)).hasValue(new ServerLimits.Limit(ServerLimits.MIN_PER_SECOND, NOW));
    }

    @Test
    void limitsOfOtherServersAreRemoved() {
        limits.record(1, Optional.of(2.5), NOW);
        limits.record(2, Optional.of(2.5), NOW);
        limits.retain(Set.of(2L));
        assertThat(limits.limit(1)).isEmpty();
        assertThat(limits.limit(2)).hasValue(new ServerLimits.Limit(2.5, NOW));
    }
}
