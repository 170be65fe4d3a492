package io.coppershelf.admission;

import static com.google.common.truth.Truth.assertThat;
import static io.coppershelf.admission.GroupDriver.CLAIM;
import static io.coppershelf.admission.GroupDriver.READ;
import static io.coppershelf.admission.GroupDriver.server;

import io.coppershelf.admission.GroupAction.Dispatch;
import io.coppershelf.admission.GroupAction.Refuse;
import io.coppershelf.backend.BackendResult.ServerState;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.outcome.Outcome;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class ServerGroupSlotsTest {
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final GroupDriver driver = new GroupDriver();

    @Test
    void dispatchesNoMoreThanTheSlotsOfEachServer() {
        driver.configure(server("a", 2, false), server("b", 2, false));
        int dispatched = 0;
        for (int i = 0; i < 10; i++) {
            driver.request(READ, 1, SECOND);
            dispatched += driver.all(Dispatch.class).size();
        }
        assertThat(dispatched).isEqualTo(4);
        assertThat(driver.group.status(driver.now).freeSlots()).isEqualTo(0);
        assertThat(driver.group.status(driver.now).queued()).isEqualTo(6);
    }

    @Test
    void dispatchesTheEarliestDeadlineFirst() {
        driver.configure(server("a", 1, false));
        String running = driver.request(READ, 1, SECOND);
        driver.request(READ, 1, Duration.ofMillis(900));
        String urgent = driver.request(READ, 1, Duration.ofMillis(300));
        driver.answer(running);
        assertThat(driver.all(Dispatch.class)).containsExactly(new Dispatch(urgent, "a"));
    }

    @Test
    void refusesARequestThatCannotFinishByItsDeadlineAtArrival() {
        driver.configure(server("a", 1, false));
        String first = driver.request(READ, 1, SECOND);
        driver.advance(Duration.ofMillis(200)).answer(first);
        String late = driver.request(READ, 1, Duration.ofMillis(100));
        assertThat(driver.all(Refuse.class).get(0).attemptId()).isEqualTo(late);
        assertThat(driver.all(Refuse.class).get(0).error()).isEqualTo(ErrorKind.OVERLOADED);
    }

    @Test
    void refusesAQueuedRequestAsNotRunAtItsDeadline() {
        driver.configure(server("a", 1, false));
        driver.request(CLAIM, 1, SECOND);
        String queued = driver.request(CLAIM, 1, Duration.ofMillis(400));
        driver.advance(Duration.ofMillis(400));
        assertThat(driver.all(Refuse.class).get(0).attemptId()).isEqualTo(queued);
        assertThat(driver.all(Refuse.class).get(0).error().outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(driver.all(Dispatch.class)).isEmpty();
    }

    @Test
    void sendsNoNewRequestsToDrainingServers() {
        driver.configure(server("a", 1, true), server("b", 1, false));
        String onB = driver.request(READ, 1, SECOND);
        assertThat(driver.all(Dispatch.class)).containsExactly(new Dispatch(onB, "b"));
        driver.answer(onB, 200, ServerState.DRAINING);
        driver.request(READ, 1, SECOND);
        assertThat(driver.all(Refuse.class).get(0).error()).isEqualTo(ErrorKind.NO_SERVER);
    }

    @Test
    void refusesHedgesWithoutAFreeSlot() {
        driver.configure(server("a", 1, false));
        driver.request(READ, 1, SECOND);
        driver.request(READ, 1, SECOND, true);
        assertThat(driver.all(Refuse.class)).hasSize(1);
    }
}
