package io.coppershelf.dispatch;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.testing.Catalogs;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Pattern: some servers lose answers, others fail grayly, and all work goes to the few that nobody suspects. */
final class ServiceSpreadTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final ServiceSpread spread = new ServiceSpread();
    private final List<BackendServer> servers = IntStream.range(0, 10)
            .mapToObj(number -> Catalogs.server("i-" + number, "here"))
            .toList();

    @Test
    void healthyServiceMayUseFewServers() {
        send(0, 20);
        assertThat(spread.unused(servers, false, SECOND)).isEmpty();
    }

    @Test
    void failingServiceHasToUseTheServersThatHadNoRequest() {
        send(0, 20);
        fail(0, 4);
        assertThat(spread.unused(servers, false, SECOND / 10)).hasSize(9);
    }

    @Test
    void floorIsKeptWhenNearlyAllServersHadARequest() {
        for (int number = 0; number < 9; number++) {
            send(number, 2);
        }
        fail(0, 4);
        assertThat(spread.unused(servers, false, SECOND / 10)).isEmpty();
    }

    @Test
    void requestsThatMayBeSentAgainGoFirst() {
        send(0, 20);
        fail(0, 4);
        spread.began(code(1), 0);
        long later = 3 * SECOND / 2;
        spread.began(code(0), later);
        assertThat(spread.unused(servers, false, later)).contains(servers.get(1));
        assertThat(spread.unused(servers, true, later)).doesNotContain(servers.get(1));
    }

    @Test
    void failuresOfLongAgoDoNotCount() {
        send(0, 20);
        fail(0, 4);
        long later = 10 * SECOND;
        for (int i = 0; i < 20; i++) {
            spread.began(code(0), later);
        }
        assertThat(spread.unused(servers, false, later)).isEmpty();
    }

    private void send(int server, int count) {
        for (int i = 0; i < count; i++) {
            spread.began(code(server), 0);
        }
    }

    private void fail(int server, int count) {
        for (int i = 0; i < count; i++) {
            spread.failed(code(server), 0);
        }
    }

    private long code(int server) {
        return FleetLoad.codeOf(ServerChooser.keyOf(servers.get(server)));
    }
}
