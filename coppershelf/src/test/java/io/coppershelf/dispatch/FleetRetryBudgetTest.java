package io.coppershelf.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Guards against retry storms: a service fails every request, and each of many VMs with little traffic tries to retry
 * all of them.
 */
final class FleetRetryBudgetTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    @Test
    void sharesOfAllVmsAddUpToLessThanTheLimitOfTheFleet() {
        int vms = 36;
        int requestsPerVm = 15;
        int retries = 0;
        for (int vm = 0; vm < vms; vm++) {
            FleetRetryBudget budget = budget();
            for (int i = 0; i < requestsPerVm; i++) {
                budget.countRequest("s", 0);
                retries += budget.tryAcquire("s", vms, 0) ? 1 : 0;
            }
        }
        assertThat((double) retries).isLessThan(0.2 * vms * requestsPerVm + 58);
        assertThat(retries).isGreaterThan(vms);
    }

    @Test
    void noWindowHasMoreRetriesThanTheShare() {
        FleetRetryBudget budget = budget();
        List<Long> times = new ArrayList<>();
        for (int tenth = 0; tenth < 600; tenth++) {
            long now = tenth * SECOND / 10;
            budget.countRequest("s", now);
            if (budget.tryAcquire("s", 36, now)) {
                times.add(now);
            }
        }
        for (long start : times) {
            long inWindow = times.stream()
                    .filter(time -> time >= start && time < start + 10 * SECOND)
                    .count();
            assertThat((double) inWindow).isLessThan(0.2 * 100 + 58.0 / 36);
        }
    }

    @Test
    void eachServiceHasItsOwnBudget() {
        FleetRetryBudget budget = budget();
        while (budget.tryAcquire("busy", 1, 0)) {
            budget.countRequest("other", 0);
        }
        assertThat(budget.tryAcquire("other", 1, 0)).isTrue();
    }

    private static FleetRetryBudget budget() {
        return new FleetRetryBudget(0.2, 58, Duration.ofSeconds(10));
    }
}
