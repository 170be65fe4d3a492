package io.coppershelf.dispatch;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.testing.Catalogs;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Pattern: some servers fail grayly, and all work goes to the few that were proven last. */
final class IdleServerTrackerTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final IdleServerTracker spread = new IdleServerTracker();
    private final List<BackendServer> servers = IntStream.range(0, 10)
            .mapToObj(number -> Catalogs.server("i-" + number, "here"))
            .toList();

    @Test
    void serversThatHadNoRequestAreDue() {
        send(0, 20);
        assertThat(unused(false, SECOND / 10)).hasSize(9);
    }

    @Test
    void floorIsKeptWhenNearlyAllServersHadARequest() {
        for (int number = 0; number < 9; number++) {
            send(number, 2);
        }
        assertThat(unused(false, SECOND / 10)).isEmpty();
    }

    /** Pattern: all VMs lose power at once; what was in flight counts as failed, and no rule can act afterwards. */
    @Test
    void floorIsKeptBeforeAnythingFails() {
        for (int number = 0; number < 10; number++) {
            send(number, 1);
        }
        assertThat(unused(false, SECOND)).isEmpty();
        assertThat(unused(false, 2 * SECOND)).hasSize(10);
    }

    @Test
    void requestsThatMayBeSentAgainGoFirst() {
        spread.recordRequest(code(1), 0);
        long later = 3 * SECOND / 2;
        spread.recordRequest(code(0), later);
        assertThat(unused(false, later)).contains(servers.get(1));
        assertThat(unused(true, later)).doesNotContain(servers.get(1));
    }

    private List<BackendServer> unused(boolean isLastChance, long nowNanos) {
        return spread.idleServers(servers, server -> FleetLoad.codeOf(server.key()), isLastChance, nowNanos);
    }

    private void send(int server, int count) {
        for (int i = 0; i < count; i++) {
            spread.recordRequest(code(server), 0);
        }
    }

    private long code(int server) {
        return FleetLoad.codeOf(servers.get(server).key());
    }
}
