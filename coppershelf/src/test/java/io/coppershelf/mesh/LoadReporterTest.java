package io.coppershelf.mesh;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class LoadReporterTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long START = 5000 * MILLI;

    private final LoadReporter reporter = new LoadReporter();

    LoadReporterTest() {
        reporter.pollDue(START);
    }

    @Test
    void startIsReportedWithinMilliseconds() {
        reporter.changed(7, 1, true, START);
        assertThat(reporter.pollDue(START)).isEmpty();
        assertThat(reporter.pollDue(START + 5 * MILLI)).hasValue(new MeshMessage.Load(List.of(7L), List.of(1)));
    }

    @Test
    void endIsReportedWithTheNextStart() {
        reporter.changed(7, 0, false, START);
        reporter.changed(8, 1, true, START + MILLI);
        MeshMessage.Load load = reporter.pollDue(START + 6 * MILLI).orElseThrow();
        assertThat(load.serverCodes()).containsExactly(7L, 8L);
    }

    @Test
    void endAloneIsReportedAfterADelay() {
        reporter.changed(7, 0, false, START);
        assertThat(reporter.pollDue(START + 50 * MILLI)).isEmpty();
        assertThat(reporter.pollDue(START + 100 * MILLI)).isPresent();
    }

    @Test
    void requestsInFlightAreReportedAgainEverySecond() {
        reporter.changed(7, 1, true, START);
        reporter.pollDue(START + 5 * MILLI);
        assertThat(reporter.pollDue(START + 1000 * MILLI)).hasValue(new MeshMessage.Load(List.of(7L), List.of(1)));
    }
}
