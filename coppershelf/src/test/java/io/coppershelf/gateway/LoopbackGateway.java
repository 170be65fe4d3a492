package io.coppershelf.gateway;

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
import io.coppershelf.testing.Catalogs;
import io.coppershelf.testing.Conditions;
import io.coppershelf.testing.FakeBackendServer;
import io.coppershelf.testing.FreePorts;
import io.coppershelf.testing.RawCaller;
import io.coppershelf.testing.TestHeaders;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A gateway on the loopback interface that finds its servers at fixed ports.
 *
 * @param gateway the gateway
 * @param callers the address for callers
 */
record LoopbackGateway(Gateway gateway, InetSocketAddress callers) {
    /**
     * Starts a gateway and waits until it is ready.
     *
     * @param mesh its address for other VMs
     * @param seed the address of the VM by which it finds the others
     * @param serverPorts the ports of the servers
     * @param timeout the longest time to an answer
     */
    static LoopbackGateway start(
            InetSocketAddress mesh, InetSocketAddress seed, List<Integer> serverPorts, Duration timeout) {
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
                List.of(seed),
                Optional.empty(),
                TestHeaders.NAMES,
                0.2,
                58,
                Duration.ofSeconds(10),
                Duration.ofSeconds(6),
                BodyLimit.DEFAULT,
                GatewayFeatures.NONE);
        Gateway gateway = Gateway.start(settings, loop -> new FixedReader(serverPorts, timeout), EventLog.NONE);
        Conditions.await(() -> isReady(readiness));
        return new LoopbackGateway(gateway, callers);
    }

    /** Returns the answer of a server to a request. */
    static byte[] answer(FakeBackendServer.Received request) {
        return request.rawAnswer(
                200,
                "whole",
                "Request-Id: " + request.headers().get("request-id"),
                "Signature: s",
                "Content-Length: 5");
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

    /** A platform with servers at fixed ports. */
    private static final class FixedReader implements CatalogReader {
        private final CatalogChange content;

        FixedReader(List<Integer> ports, Duration timeout) {
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
                    timeout,
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
