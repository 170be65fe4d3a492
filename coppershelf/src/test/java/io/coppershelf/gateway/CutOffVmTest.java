package io.coppershelf.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.CallerLimits;
import io.coppershelf.catalog.CatalogChange;
import io.coppershelf.catalog.CatalogReader;
import io.coppershelf.catalog.CatalogRevision;
import io.coppershelf.catalog.FleetConfiguration;
import io.coppershelf.catalog.RequestKind;
import io.coppershelf.catalog.Route;
import io.coppershelf.catalog.RouteTable;
import io.coppershelf.catalog.ServerList;
import io.coppershelf.catalog.WeightedService;
import io.coppershelf.eventlog.EventLog;
import io.coppershelf.http.BodyLimit;
import io.coppershelf.proxy.HeaderNames;
import io.coppershelf.testing.Catalogs;
import io.coppershelf.testing.Conditions;
import io.coppershelf.testing.FakeBackendServer;
import io.coppershelf.testing.FreePorts;
import io.coppershelf.testing.RawCaller;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Scenario: two VMs on the loopback interface, of which one reaches no server, while its callers and the other do. */
@Timeout(30)
final class CutOffVmTest {
    private static final int SERVERS = 6;
    private static final int REQUESTS = 60;

    private final List<FakeBackendServer> servers = new ArrayList<>();
    private final InetSocketAddress meshAddress = FreePorts.address();

    @BeforeEach
    void startServers() throws IOException {
        for (int i = 0; i < SERVERS; i++) {
            servers.add(FakeBackendServer.start(CutOffVmTest::answer));
        }
    }

    @AfterEach
    void stopServers() throws IOException {
        for (FakeBackendServer server : servers) {
            server.close();
        }
    }

    /** Guards against callers of a VM that is cut off from the servers being served far worse than those of others. */
    @Test
    void callersOfAVmThatReachesNoServerAreServedByAnotherOne() throws IOException {
        start(meshAddress, servers.stream().map(FakeBackendServer::port).toList());
        List<Integer> refusedPorts = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            refusedPorts.add(FreePorts.address().getPort());
        }
        InetSocketAddress cutOff = start(FreePorts.address(), refusedPorts);
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            served += post(cutOff, i).status() == 200 ? 1 : 0;
        }
        assertThat(served).isAtLeast(2 * REQUESTS / 3);
    }

    /** Guards against callers of a VM that reaches a third of the servers being served worse than those of others. */
    @Test
    void callersOfAVmThatReachesAPartOfTheServersAreServed() throws IOException {
        List<Integer> ports = servers.stream().map(FakeBackendServer::port).toList();
        start(meshAddress, ports);
        List<Integer> reachedInPart = new ArrayList<>(ports);
        for (int i = 2; i < SERVERS; i++) {
            reachedInPart.set(i, FreePorts.address().getPort());
        }
        InetSocketAddress vm = start(FreePorts.address(), reachedInPart);
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            served += post(vm, i).status() == 200 ? 1 : 0;
        }
        assertThat(served).isAtLeast((int) Math.ceil(0.95 * REQUESTS));
    }

    private static RawCaller.Reply post(InetSocketAddress vm, int number) throws IOException {
        return RawCaller.exchange(
                vm, "POST /once/" + number + " HTTP/1.1\nHost: host\nRequest-Id: r" + number + "\nDeadline: 3000\n\n");
    }

    /** Starts a VM that finds the servers at these ports; returns the address for callers. */
    private InetSocketAddress start(InetSocketAddress mesh, List<Integer> serverPorts) {
        InetSocketAddress callers = FreePorts.address();
        InetSocketAddress readiness = FreePorts.address();
        GatewaySettings settings = new GatewaySettings(
                "vm-" + mesh.getPort(),
                "here",
                callers,
                readiness,
                "/readiness",
                mesh,
                Optional.of(FreePorts.address()),
                List.of(meshAddress),
                Optional.empty(),
                new HeaderNames(
                        "Request-Id",
                        "Deadline",
                        "Target",
                        "Signature",
                        "Not-Run",
                        "Leaving",
                        "Limit",
                        "Load",
                        "Api-Key",
                        "Customer"),
                0.2,
                58,
                Duration.ofSeconds(10),
                Duration.ofSeconds(6),
                BodyLimit.DEFAULT,
                GatewayFeatures.NONE);
        Gateway unused = Gateway.start(settings, loop -> new FixedReader(serverPorts), EventLog.NONE);
        Conditions.await(() -> isReady(readiness));
        return callers;
    }

    private static boolean isReady(InetSocketAddress readiness) {
        try {
            return RawCaller.exchange(readiness, "GET /readiness HTTP/1.1\nHost: host\n\n")
                            .status()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private static byte[] answer(FakeBackendServer.Received request) {
        return request.rawAnswer(
                200,
                "whole",
                "Request-Id: " + request.headers().get("request-id"),
                "Signature: s",
                "Content-Length: 5");
    }

    /** A platform with servers at fixed ports. */
    private static final class FixedReader implements CatalogReader {
        private final CatalogChange content;

        FixedReader(List<Integer> ports) {
            List<BackendServer> servers = new ArrayList<>();
            for (int port : ports) {
                servers.add(new BackendServer(
                        "i-" + servers.size(),
                        1,
                        "ledger",
                        new InetSocketAddress("127.0.0.1", port),
                        "here",
                        6,
                        true,
                        0));
            }
            Route route = new Route(
                    "once",
                    "host",
                    "/once/",
                    RequestKind.ONCE,
                    Duration.ofMillis(2500),
                    Duration.ofSeconds(1),
                    1,
                    2,
                    List.of(new WeightedService("ledger", 1)));
            FleetConfiguration configuration = new FleetConfiguration(
                    1, RouteTable.of(List.of(route)), Map.of("ledger", 400), CallerLimits.DEFAULT);
            content = CatalogChange.complete(ServerList.of(Catalogs.revision(1), servers), Optional.of(configuration));
        }

        @Override
        public void readAll(Listener listener) {
            listener.readSucceeded(content);
        }

        @Override
        public void readChanges(CatalogRevision revision, Duration wait, Listener listener) {
            listener.readSucceeded(new CatalogChange(revision, revision, Optional.empty(), List.of(), Set.of()));
        }

        @Override
        public void readConfigurationAllowingStale(
                long version, Consumer<FleetConfiguration> onRead, Runnable onFailure) {
            content.configuration().ifPresentOrElse(onRead, onFailure);
        }
    }
}
