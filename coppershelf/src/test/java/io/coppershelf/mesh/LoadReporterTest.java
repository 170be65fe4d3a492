package io.coppershelf.mesh;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class LoadReporterTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long START = 5000 * MILLI;

    private final LoadReporter report = new LoadReporter();

    LoadReporterTest() {
        report.pollDue(START);
    }

    @Test
    void beginIsToldWithinMilliseconds() {
        report.changed(7, 1, true, START);
        assertThat(report.pollDue(START)).isEmpty();
        assertThat(report.pollDue(START + 5 * MILLI)).hasValue(new MeshMessage.Load(List.of(7L), List.of(1)));
    }

    @Test
    void endIsToldWithTheNextBegin() {
        report.changed(7, 0, false, START);
        report.changed(8, 1, true, START + MILLI);
        MeshMessage.Load load = report.pollDue(START + 6 * MILLI).orElseThrow();
        assertThat(load.serverCodes()).containsExactly(7L, 8L);
    }

    @Test
    void endAloneIsToldALittleLater() {
        report.changed(7, 0, false, START);
        assertThat(report.pollDue(START + 50 * MILLI)).isEmpty();
        assertThat(report.pollDue(START + 100 * MILLI)).isPresent();
    }

    @Test
    void runningRequestsAreToldAgainEverySecond() {
        report.changed(7, 1, true, START);
        report.pollDue(START + 5 * MILLI);
        assertThat(report.pollDue(START + 1000 * MILLI)).hasValue(new MeshMessage.Load(List.of(7L), List.of(1)));
    }
}
