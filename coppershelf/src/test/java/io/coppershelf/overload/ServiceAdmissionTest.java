package io.coppershelf.overload;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class ServiceAdmissionTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long PATIENT = TimeUnit.SECONDS.toNanos(5);

    private final ServiceAdmission admission = new ServiceAdmission(RankOrder.of(List.of(0, 2)), new Random(1));
    private long now;

    /** Guards against refusals while slots are free. */
    @Test
    void everythingIsAdmittedWhileSlotsAreFree() {
        load(0.95, 5000);
        assertThat(refused(2, PATIENT)).isEqualTo(0);
    }

    /** Guards against urgent requests that are refused before the others. */
    @Test
    void lessUrgentRequestsAreRefusedFirst() {
        load(1.9, 1000);
        assertThat(refused(0, PATIENT)).isEqualTo(0);
        assertThat(refused(2, PATIENT)).isAtLeast(50);
    }

    /** Guards against a priority that is refused altogether. */
    @Test
    void partOfEachPriorityIsAdmittedUnderAnyLoad() {
        load(3, 5000);
        assertThat(refused(2, PATIENT)).isLessThan(100);
    }

    /** Guards against requests that wait in the queue of a server although they can't be answered in time. */
    @Test
    void requestThatCannotMeetItsDeadlineIsRefused() {
        for (int i = 0; i < 10; i++) {
            admission.recordAnswer("route", 300 * MILLI);
        }
        load(1.5, 100);
        assertThat(refused(0, 200 * MILLI)).isEqualTo(100);
        assertThat(refused(0, PATIENT)).isEqualTo(0);
    }

    private void load(double fill, int millis) {
        for (int i = 0; i < millis; i += 10) {
            now += 10 * MILLI;
            CountedLoad counted = new CountedLoad(true, (int) (100 * fill), 100, Optional.of(Duration.ZERO));
            admission.update(List.of(counted), now);
        }
    }

    /** Returns how many of a hundred requests are refused. */
    private int refused(int rank, long remainingNanos) {
        int refused = 0;
        for (int i = 0; i < 100; i++) {
            AdmissionRequest request = new AdmissionRequest(rank, "route", i, 0, remainingNanos);
            refused += admission.decide(request, now) instanceof AdmissionDecision.Refuse ? 1 : 0;
        }
        return refused;
    }
}
