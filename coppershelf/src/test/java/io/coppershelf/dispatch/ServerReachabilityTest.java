package io.coppershelf.dispatch;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.BackendServer;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class ServerReachabilityTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final List<BackendServer> servers = new ArrayList<>();
    private final ServerReachability reachability = new ServerReachability(new Random(1));

    ServerReachabilityTest() {
        for (int i = 0; i < 12; i++) {
            servers.add(server("i-" + i, "service-" + i % 3));
        }
    }

    @Test
    void vmIsCutOffOnceFourServersInARowAreUnreachable() {
        reachability.connectFailed("i-0", servers.size());
        for (BackendServer server : poll(0)) {
            assertThat(reachability.isCutOff()).isFalse();
            reachability.connectFailed(server.id(), servers.size());
        }
        assertThat(reachability.isCutOff()).isTrue();
    }

    /** Guards against a VM that takes a crash of all servers of one service for a failure of its own paths. */
    @Test
    void connectionToAServerOfAnotherServiceSettlesTheDoubt() {
        reachability.connectFailed("i-0", servers.size());
        List<BackendServer> checks = poll(0);
        assertThat(checks).hasSize(3);
        for (BackendServer check : checks) {
            assertThat(check.service()).isNotEqualTo("service-0");
        }
        reachability.connectFailed("i-3", servers.size());
        reachability.connected(checks.get(0).id(), 0);
        reachability.connectFailed("i-6", servers.size());
        reachability.connectFailed("i-9", servers.size());
        assertThat(reachability.isCutOff()).isFalse();
    }

    @Test
    void serverThatWasReachedLastIsCheckedFirst() {
        reachability.connected("i-4", 5 * MILLI);
        reachability.connected("i-1", 9 * MILLI);
        reachability.connectFailed("i-0", servers.size());
        assertThat(poll(10 * MILLI).stream().map(BackendServer::id).limit(2))
                .containsExactly("i-1", "i-4")
                .inOrder();
    }

    @Test
    void failureOfTheOnlyServerCutsTheVmOff() {
        reachability.connectFailed("i-0", 1);
        assertThat(reachability.isCutOff()).isTrue();
    }

    /** Guards against a doubt that never ends since fewer servers accept requests than are known. */
    @Test
    void vmIsCutOffOnceNoServerIsLeftToCheck() {
        servers.subList(2, servers.size()).clear();
        reachability.connectFailed("i-0", 12);
        for (BackendServer server : poll(0)) {
            reachability.connectFailed(server.id(), 12);
        }
        assertThat(reachability.isCutOff()).isFalse();
        assertThat(poll(0)).isEmpty();
        assertThat(reachability.isCutOff()).isTrue();
    }

    /**
     * Guards against a VM that counts as cut off since the servers that it reached last, and checks first, are those
     * that crashed before: their callers were refused although half of the servers ran.
     */
    @Test
    void serversThatFailedBeforeDoNotCutTheVmOff() {
        servers.replaceAll(server -> server(server.id(), "service-0"));
        for (int i = 0; i < 6; i++) {
            reachability.connected("i-" + i, i * MILLI);
        }
        for (int i = 0; i < 5; i++) {
            reachability.connectFailed("i-" + i, servers.size());
            reachability.connected("i-11", 6 * MILLI);
        }
        reachability.connectFailed("i-5", servers.size());
        for (int i = 0; i < 5; i++) {
            reachability.connectFailed("i-" + i, servers.size());
        }
        assertThat(reachability.isCutOff()).isFalse();
        List<String> checks = poll(7 * MILLI).stream().map(BackendServer::id).toList();
        assertThat(checks).containsNoneOf("i-0", "i-1", "i-2", "i-3", "i-4", "i-5");
        checks.forEach(id -> reachability.connectFailed(id, servers.size()));
        assertThat(reachability.isCutOff()).isTrue();
    }

    @Test
    void serversWithoutAFailureAreCheckedBeforeThoseThatFailedBefore() {
        servers.replaceAll(server -> server(server.id(), "service-0"));
        for (int i = 0; i < 3; i++) {
            reachability.connected("i-" + i, i * MILLI);
            reachability.connectFailed("i-" + i, servers.size());
        }
        reachability.connected("i-11", 4 * MILLI);
        reachability.connectFailed("i-3", servers.size());
        assertThat(poll(5 * MILLI).stream().map(BackendServer::id).toList()).containsNoneOf("i-0", "i-1", "i-2");
    }

    /** Guards against requests that wait on connections which have fallen silent, without any new connection. */
    @Test
    void serverIsCheckedIfNoneAnswersWhileRequestsAreInFlight() {
        reachability.requestSent(0);
        assertThat(poll(700 * MILLI)).isEmpty();
        assertThat(poll(800 * MILLI)).hasSize(1);
        assertThat(poll(1700 * MILLI)).isEmpty();
    }

    @Test
    void noServerIsCheckedWhileServersAnswerOrNothingIsInFlight() {
        reachability.requestSent(0);
        reachability.requestSent(0);
        reachability.requestEnded(true, 700 * MILLI);
        assertThat(poll(900 * MILLI)).isEmpty();
        reachability.requestEnded(true, 1000 * MILLI);
        assertThat(poll(9000 * MILLI)).isEmpty();
    }

    @Test
    void pathThatIsBackIsNoticedByChecksAtIntervals() {
        for (int i = 0; i < ServerReachability.CUT_OFF_SERVERS; i++) {
            reachability.connectFailed("i-" + i, servers.size());
        }
        List<BackendServer> first = poll(1000 * MILLI);
        assertThat(first).hasSize(1);
        assertThat(poll(1200 * MILLI)).isEmpty();
        reachability.connectFailed(first.get(0).id(), servers.size());
        assertThat(poll(1290 * MILLI)).isEmpty();
        List<BackendServer> second = poll(1310 * MILLI);
        assertThat(second).hasSize(1);
        reachability.connected(second.get(0).id(), 1320 * MILLI);
        assertThat(reachability.isCutOff()).isFalse();
        assertThat(reachability.hasSignOfLifeSince(1300 * MILLI)).isTrue();
    }

    private List<BackendServer> poll(long nowNanos) {
        return reachability.pollChecks(this::servers, nowNanos);
    }

    private Collection<BackendServer> servers() {
        return servers;
    }

    private static BackendServer server(String id, String service) {
        return new BackendServer(id, 1, service, new InetSocketAddress("127.0.0.1", 1), "here", 6, true, 0);
    }
}
