package io.coppershelf.mesh;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Scenario: every VM needs changes within two seconds, but calls to the platform are limited and expensive. */
final class PlatformReadScheduleTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long OLD = TimeUnit.MINUTES.toNanos(1);

    private final PlatformReadSchedule schedule = new PlatformReadSchedule(new Random(1));

    @Test
    void newVmReadsAtOnce() {
        assertThat(schedule.isDue(5, 0, 0)).isTrue();
    }

    @Test
    void firstVmReadsBeforeTheOthers() {
        schedule.markCurrent(0);
        assertThat(schedule.isDue(0, OLD, 400 * MILLI)).isTrue();
        assertThat(schedule.isDue(1, OLD, 400 * MILLI)).isFalse();
        assertThat(schedule.isDue(2, OLD, 800 * MILLI)).isFalse();
    }

    @Test
    void vmThatReceivesNothingReadsInTimeForTheBound() {
        schedule.markCurrent(0);
        assertThat(schedule.isDue(30, OLD, 1400 * MILLI)).isTrue();
    }

    @Test
    void confirmationOfAPeerPostponesTheReading() {
        schedule.markCurrent(0);
        schedule.markCurrent(300 * MILLI);
        assertThat(schedule.isDue(0, OLD, 500 * MILLI)).isFalse();
    }

    @Test
    void failedReadingsAreSpacedOut() {
        long now = 0;
        int readings = 0;
        for (; now < 60_000 * MILLI; now += 50 * MILLI) {
            if (schedule.isDue(0, OLD, now)) {
                readings++;
                schedule.readFailed(now);
            }
        }
        assertThat(readings).isAtMost(70);
        assertThat(readings).isAtLeast(20);
    }

    /**
     * Guards against a VM that the platform refused for some time and that later waits seconds before it repeats a
     * reading, although other VMs have read the platform meanwhile.
     */
    @Test
    void pauseAfterAFailureStartsAnewOnceAnotherVmHasReadThePlatform() {
        long now = 0;
        for (int failure = 0; failure < 5; failure++) {
            now += 3000 * MILLI;
            schedule.readFailed(now);
        }
        schedule.markCurrent(now + 1000 * MILLI);
        schedule.readFailed(now + 2300 * MILLI);
        assertThat(schedule.isDue(30, OLD, now + 2600 * MILLI)).isTrue();
    }
}
