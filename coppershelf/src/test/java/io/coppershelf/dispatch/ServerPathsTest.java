package io.coppershelf.dispatch;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.testing.Catalogs;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class ServerPathsTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final List<BackendServer> servers = IntStream.range(0, 12)
            .mapToObj(i -> Catalogs.server("i-" + i, "here"))
            .toList();
    private final ServerPaths paths = new ServerPaths();

    @Test
    void serverIsUnreachableFromItsFirstFailureUntilACheckSucceeds() {
        fail(0, 0);
        assertThat(paths.isUnreachable(servers.get(0))).isTrue();
        assertThat(paths.pollChecks(299 * MILLI)).isEmpty();
        assertThat(paths.pollChecks(300 * MILLI)).containsExactly(servers.get(0));
        assertThat(paths.pollChecks(301 * MILLI)).isEmpty();
        assertThat(paths.connected(servers.get(0), 302 * MILLI)).isTrue();
        assertThat(paths.isAllClear()).isTrue();
    }

    @Test
    void checksOfAServerThatKeepsFailingBecomeRarer() {
        fail(0, 0);
        long now = 0;
        for (long interval : new long[] {300, 600, 1200, 2400, 2400}) {
            assertThat(paths.pollChecks(now + interval * MILLI - 1)).isEmpty();
            now += interval * MILLI;
            assertThat(paths.pollChecks(now)).hasSize(1);
            fail(0, now);
        }
    }

    /** Guards against requests that each try another server behind a path that is down. */
    @Test
    void threeFailuresOfAServiceMakeItsOtherServersDoubtfulUnlessTheyAnsweredSince() {
        paths.answered(servers.get(11), 390 * MILLI);
        fail(0, 400 * MILLI);
        fail(1, 400 * MILLI);
        assertThat(fail(2, 500 * MILLI)).hasSize(8);
        assertThat(paths.isClear(servers.get(11))).isTrue();
        assertThat(paths.isClear(servers.get(5))).isFalse();
        assertThat(paths.isUnreachable(servers.get(5))).isFalse();
        List<BackendServer> checks = paths.pollChecks(500 * MILLI);
        assertThat(checks).hasSize(ServerPaths.MAX_CHECKS);
        assertThat(paths.connected(checks.get(0), 501 * MILLI)).isFalse();
        assertThat(paths.isClear(checks.get(0))).isTrue();
    }

    @Test
    void failuresOfOneServerRaiseNoDoubtAboutOthers() {
        for (int i = 0; i < 5; i++) {
            paths.pollChecks(i * 3000L * MILLI);
            assertThat(fail(0, i * 3000L * MILLI)).isEmpty();
        }
    }

    /** Guards against servers that stay avoided for seconds after the network is back. */
    @Test
    void pathThatIsBackMakesTheOthersOfItsGroupDueForACheck() {
        fail(0, 0);
        fail(1, 290 * MILLI);
        paths.connected(servers.get(0), 300 * MILLI);
        assertThat(paths.pollChecks(300 * MILLI)).containsExactly(servers.get(1));
    }

    @Test
    void newIncarnationOfAServerIsNotUnreachable() {
        fail(0, 0);
        BackendServer old = servers.get(0);
        assertThat(paths.isClear(new BackendServer(
                        old.id(), 2, old.service(), old.address(), old.dataCentre(), old.slots(), true, 0)))
                .isTrue();
    }

    private List<BackendServer> fail(int server, long nowNanos) {
        return paths.connectFailed(servers.get(server), () -> servers, nowNanos);
    }
}
