package io.coppershelf.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class RetryAllocationTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final RetryCost URGENT = new RetryCost(0, false);
    private static final RetryCost COMMON = new RetryCost(1, false);
    private static final RetryCost PATIENT = new RetryCost(1, true);

    /** Allows 40 retries in a window of 100 requests: 0.8 x (0.2 x 100 + 30). */
    private final RetryAllocation allocation =
            new RetryAllocation(new FleetRetryBudget(0.2, 30, Duration.ofSeconds(10)), true);

    @Test
    void requestsOfOnePriorityShareTheBudgetInOrderOfArrival() {
        FleetRetryBudget plain = new FleetRetryBudget(0.2, 30, Duration.ofSeconds(10));
        for (int i = 0; i < 100; i++) {
            plain.countRequest("s", i * MILLI);
            allocation.countRequest("s", 1, i * MILLI);
        }
        for (int i = 0; i < 60; i++) {
            RetryCost cost = i % 2 == 0 ? COMMON : PATIENT;
            assertThat(allocation.tryAcquire("s", cost, 1, 200 * MILLI))
                    .isEqualTo(plain.tryAcquire("s", 1, 200 * MILLI));
        }
    }

    /** Guards against a budget that the many requests of low priority have spent when an urgent one needs it. */
    @Test
    void retriesOfLowPriorityLeaveWhatTheUrgentOnesNeed() {
        count(90, 10);
        int granted = 0;
        for (int i = 0; i < 90; i++) {
            granted += allocation.tryAcquire("s", COMMON, 1, 200 * MILLI) ? 1 : 0;
        }
        assertThat(granted).isLessThan(40);
        for (int i = 0; i < 8; i++) {
            assertThat(allocation.tryAcquire("s", URGENT, 1, 210 * MILLI)).isTrue();
        }
    }

    @Test
    void retriesOfLowPriorityUseTheBudgetWhileTheUrgentOnesNeedNone() {
        count(100, 0);
        allocation.countRequest("s", 2, 0);
        int granted = 0;
        for (int i = 0; i < 60; i++) {
            granted += allocation.tryAcquire("s", COMMON, 1, 200 * MILLI) ? 1 : 0;
        }
        assertThat(granted).isEqualTo(40);
    }

    /** Guards against a caller without time to come back that is refused for one that has the time. */
    @Test
    void retriesOfCallersThatCanComeBackGiveWayToThoseThatCannot() {
        count(90, 10);
        for (int i = 0; i < 40; i++) {
            allocation.tryAcquire("s", COMMON, 1, 200 * MILLI);
        }
        long nextWindow = 8000 * MILLI;
        assertThat(allocation.tryAcquire("s", PATIENT, 1, nextWindow)).isFalse();
    }

    private void count(int common, int urgent) {
        for (int i = 0; i < common + urgent; i++) {
            allocation.countRequest("s", i < urgent ? 0 : 1, i * MILLI);
        }
    }
}
