package io.coppershelf.admission.internal;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.admission.GroupEvent.AttemptArrived;
import java.time.Duration;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class QueueTest {
    private static final long SERVICE = Duration.ofMillis(100).toNanos();

    private final DeadlineQueue queue = new DeadlineQueue();

    @Property(tries = 100)
    void keepsTheOrderOfDeadlinesAndTheSumOfTheWork(
            @ForAll @Size(max = 20) List<@IntRange(min = 0, max = 50) Integer> deadlines) {
        DeadlineQueue filled = new DeadlineQueue();
        int number = 0;
        for (int deadline : deadlines) {
            filled.add(queued("try-" + number++, 1, deadline));
        }
        assertThat(filled.attempts().stream()
                        .map(queued -> queued.arrival().deadlineNanos())
                        .toList())
                .isInOrder();
        assertThat(filled.workNanos(filled.size())).isEqualTo(deadlines.size() * SERVICE);
        filled.removeFirst(queued -> true);
        assertThat(filled.workNanos(filled.size())).isEqualTo(Math.max(0, deadlines.size() - 1) * SERVICE);
    }

    @Test
    void shedsTheAttemptOfTheLowestWeightWhenSlotsAreLost() {
        queue.add(queued("light", 1, 190));
        queue.add(queued("heavy", 10, 200));
        assertThat(QueueShedder.selectAttempts(queue, new WaitEstimate(2, 0, SERVICE), 0))
                .isEmpty();
        assertThat(QueueShedder.selectAttempts(queue, new WaitEstimate(1, 0, SERVICE / 2), 0).stream()
                        .map(QueuedAttempt::attemptId))
                .containsExactly("light");
    }

    @Test
    void estimatesTheWaitFromTheWorkAhead() {
        queue.add(queued("a", 1, 500));
        queue.add(queued("b", 1, 600));
        assertThat(new WaitEstimate(2, 0, 2 * SERVICE).waitNanos(queue, 2)).isEqualTo(2 * SERVICE);
        assertThat(new WaitEstimate(2, 3, 0).waitNanos(queue, 2)).isEqualTo(0);
    }

    @Test
    void admitsNothingThatWouldMakeAQueuedAttemptMissItsDeadline() {
        queue.add(queued("patient", 1, 250));
        WaitEstimate estimate = new WaitEstimate(1, 0, SERVICE);
        assertThat(estimate.keepsLaterDeadlines(queue, 1, SERVICE, 0)).isTrue();
        assertThat(estimate.keepsLaterDeadlines(queue, 0, SERVICE, 0)).isFalse();
    }

    @Test
    void refusesRequestsOfTheLowestWeightFirst() {
        MeanServiceTimes serviceTimes = new MeanServiceTimes();
        serviceTimes.record("light", SERVICE);
        serviceTimes.record("heavy", SERVICE);
        AdmissionControl admission = new AdmissionControl(queue, serviceTimes);
        WaitEstimate estimate = new WaitEstimate(1, 0, SERVICE);
        assertThat(admission.admits(arrival("first", 10, 2_000), estimate, 0)).isTrue();
        for (int backlog = 0; backlog < 5; backlog++) {
            queue.add(queued("waiting-" + backlog, 10, 2_000));
        }
        assertThat(admission.admits(arrival("light", 1, 2_000), estimate, 0)).isFalse();
        assertThat(admission.admits(arrival("heavy", 10, 2_000), estimate, 0)).isTrue();
        assertThat(admission.admits(arrival("urgent", 10, 90), estimate, 0)).isFalse();
    }

    private static QueuedAttempt queued(String attemptId, int weight, int deadlineMillis) {
        return new QueuedAttempt(arrival(attemptId, weight, deadlineMillis), SERVICE);
    }

    private static AttemptArrived arrival(String attemptId, int weight, int deadlineMillis) {
        return new AttemptArrived(
                attemptId,
                attemptId,
                true,
                weight,
                Duration.ofMillis(deadlineMillis).toNanos(),
                false);
    }
}
