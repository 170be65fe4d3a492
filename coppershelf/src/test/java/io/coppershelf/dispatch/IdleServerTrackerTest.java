package io.coppershelf.dispatch;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.testing.Catalogs;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against overload during gray failures: without the floor, all requests would go to the few servers that
 * succeeded last.
 */
final class IdleServerTrackerTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final IdleServerTracker tracker = new IdleServerTracker();
    private final List<BackendServer> servers = IntStream.range(0, 10)
            .mapToObj(number -> Catalogs.server("i-" + number, "here"))
            .toList();

    @Test
    void serversWithoutARequestAreIdle() {
        send(0, 20);
        assertThat(idle(false, SECOND / 10)).hasSize(9);
    }

    /** Guards against a healthy server that stays idle since nearly all others are in use. */
    @Test
    void onlyServerWithoutARequestIsIdle() {
        for (int number = 0; number < 9; number++) {
            send(number, 2);
        }
        assertThat(idle(false, SECOND / 10)).containsExactly(servers.get(9));
        send(9, 1);
        assertThat(idle(false, SECOND / 10)).isEmpty();
    }

    /** Guards against many VMs that choose the same idle server, as they learn late of the first request to it. */
    @Test
    void onlyARequestToAnIdleServerIsReportedAsOne() {
        assertThat(tracker.recordRequest(code(0), 0)).isTrue();
        assertThat(tracker.recordRequest(code(0), SECOND)).isFalse();
        assertThat(tracker.recordRequest(code(0), 3 * SECOND)).isTrue();
    }

    /**
     * Scenario: all VMs lose power at once: requests in flight count as failed, and no request can restore the floor
     * afterwards.
     */
    @Test
    void floorIsKeptBeforeAnythingFails() {
        for (int number = 0; number < 10; number++) {
            send(number, 1);
        }
        assertThat(idle(false, SECOND)).isEmpty();
        assertThat(idle(false, 2 * SECOND)).hasSize(10);
    }

    @Test
    void retryableRequestsAreSentToIdleServersFirst() {
        tracker.recordRequest(code(1), 0);
        long later = 3 * SECOND / 2;
        tracker.recordRequest(code(0), later);
        assertThat(idle(false, later)).contains(servers.get(1));
        assertThat(idle(true, later)).doesNotContain(servers.get(1));
    }

    private List<BackendServer> idle(boolean isLastAttempt, long nowNanos) {
        return tracker.idleServers(servers, server -> FleetLoad.codeOf(server.key()), isLastAttempt, nowNanos);
    }

    private void send(int server, int count) {
        for (int i = 0; i < count; i++) {
            tracker.recordRequest(code(server), 0);
        }
    }

    private long code(int server) {
        return FleetLoad.codeOf(servers.get(server).key());
    }
}
