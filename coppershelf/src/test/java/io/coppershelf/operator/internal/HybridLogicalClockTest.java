package io.coppershelf.operator.internal;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.component.TimeSource;
import io.coppershelf.operator.HybridClock;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class HybridLogicalClockTest {
    private final AtomicLong wall = new AtomicLong(1_000_000);
    private final HybridClock clock = new HybridLogicalClock(new TimeSource() {
        @Override
        public long nanos() {
            return 0;
        }

        @Override
        public long wallMillis() {
            return wall.get();
        }
    });

    @Test
    void stampsFollowTheWallClockAndGrow() {
        long first = clock.stamp();
        long second = clock.stamp();
        wall.addAndGet(5);
        long third = clock.stamp();

        assertThat(second).isGreaterThan(first);
        assertThat(third).isGreaterThan(second);
        assertThat(HybridClock.millis(third)).isEqualTo(1_000_005);
    }

    @Test
    void stampsGrowWhileTheWallClockGoesBack() {
        long before = clock.stamp();
        wall.addAndGet(-500);

        assertThat(clock.stamp()).isGreaterThan(before);
    }

    @Test
    void stampsComeAfterAnObservedOne() {
        long observed = (wall.get() + 2_000) << HybridClock.COUNTER_BITS;

        clock.observe(observed);

        assertThat(clock.stamp()).isGreaterThan(observed);
    }

    @Test
    void ignoresStampFarAhead() {
        clock.observe((wall.get() + 61_000) << HybridClock.COUNTER_BITS);

        assertThat(HybridClock.millis(clock.stamp())).isEqualTo(1_000_000);
    }
}
