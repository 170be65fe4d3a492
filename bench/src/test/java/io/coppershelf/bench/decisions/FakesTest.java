package io.coppershelf.bench.decisions;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FakesTest {
    @ParameterizedTest
    @CsvSource({"0, 50, 50", "80, 20, 100", "80, 40, 220", "150, 10, 210", "200, 10, 210"})
    void finishesWorkAtTheSpeedOfEachTimeSpan(long start, long work, long end) {
        SpeedTimeline timeline = new SpeedTimeline().from(100, 0).from(200, 1);
        assertThat(timeline.finish(start, work)).hasValue(end);
    }

    @Test
    void neverFinishesWorkOnAStalledServer() {
        assertThat(new SpeedTimeline().from(100, 0).finish(90, 20)).isEmpty();
    }

    @Test
    void grantsNoMoreEjectionsThanTheFloorPermits() {
        FloorCounter floor = new FloorCounter(4, 2);
        assertThat(floor.request("a", 0)).isTrue();
        floor.reportOutOfService("b", true);
        assertThat(floor.request("c", 0)).isFalse();
        assertThat(floor.request("a", 0)).isTrue();
        floor.reportOutOfService("b", false);
        assertThat(floor.request("c", 0)).isTrue();
        assertThat(floor.request("d", FloorCounter.GRANT_NANOS)).isTrue();
    }

    @Test
    void runsEventsInOrderOfTime() {
        VirtualTime time = new VirtualTime();
        StringBuilder order = new StringBuilder();
        time.at(20, () -> order.append("b"));
        time.at(10, () -> order.append("a"));
        time.at(20, () -> order.append("c"));
        time.runUntil(20);
        assertThat(order.toString()).isEqualTo("abc");
    }
}
