package io.coppershelf.proxy;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.CallerLimits;
import io.coppershelf.catalog.Catalog;
import io.coppershelf.catalog.FleetConfiguration;
import io.coppershelf.catalog.RequestKind;
import io.coppershelf.catalog.Route;
import io.coppershelf.catalog.RouteTable;
import io.coppershelf.catalog.ServerList;
import io.coppershelf.catalog.TenantTable;
import io.coppershelf.catalog.WeightedService;
import io.coppershelf.dispatch.FleetLoad;
import io.coppershelf.dispatch.FleetRetryBudget;
import io.coppershelf.dispatch.IdleServerTracker;
import io.coppershelf.dispatch.ServerLimits;
import io.coppershelf.health.estimate.HealthEstimates;
import io.coppershelf.http.BodyLimit;
import io.coppershelf.poison.CrashRecords;
import io.coppershelf.testing.Catalogs;
import io.coppershelf.testing.Conditions;
import io.coppershelf.testing.FakeBackendServer;
import io.coppershelf.testing.FreePorts;
import io.coppershelf.testing.RawCaller;
import io.coppershelf.testing.TestHeaders;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/** A traffic path on the loopback interface with routes of each kind to one service. */
final class ProxyFixture implements AutoCloseable {
    private static final int MAX_HEAD_BYTES = 2000;
    private static final int MAX_BODY_BYTES = 5000;
    private static final int MAX_UPLOAD_BYTES = 1_000_000;
    private static final int MAX_CONNECTIONS = 400;
    private static final Duration ROUTE_TIMEOUT = Duration.ofMillis(2500);
    /** Room for an API key of 4 KB. */
    private static final int MAX_TENANT_HEAD_BYTES = 8000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final FakeControlState state = new FakeControlState();
    private final List<String> logLines = new CopyOnWriteArrayList<>();
    private final InetSocketAddress address;
    private final InetSocketAddress relayAddress;
    private final TrafficServer server;
    private final int maxBodyBytes;
    private Optional<TenantTable> tenants = Optional.empty();

    ProxyFixture() {
        this(false, BodyLimit.DEFAULT);
    }

    /** Creates a traffic path with that memory for bodies. */
    static ProxyFixture withMemory(long bytes) {
        return new ProxyFixture(false, new BodyLimit(bytes, true));
    }

    /** Creates a traffic path that controls the admission of requests. */
    static ProxyFixture prioritized() {
        return new ProxyFixture(true, BodyLimit.DEFAULT);
    }

    private ProxyFixture(boolean isPrioritized, BodyLimit bodyLimit) {
        maxBodyBytes = bodyLimit.isStated() ? MAX_UPLOAD_BYTES : MAX_BODY_BYTES;
        address = FreePorts.address();
        server = new TrafficServer(
                group.next(),
                TestHeaders.NAMES,
                state,
                new HealthEstimates(),
                new FleetLoad(),
                new IdleServerTracker(),
                new ServerLimits(),
                new FleetRetryBudget(0.2, 58, Duration.ofSeconds(10)),
                new CrashRecords(),
                "here",
                isPrioritized,
                false,
                bodyLimit,
                new PrometheusRegistry(),
                (importance, event, fields) -> logLines.add(event + " " + fields));
        relayAddress = FreePorts.address();
        server.listen(address, Optional.of(relayAddress));
    }

    /** Identifies callers by API keys; to be called before the servers are set. */
    void tenants(TenantTable table) {
        tenants = Optional.of(table);
    }

    /** Routes all requests to the servers. */
    void serve(FakeBackendServer... servers) {
        servePorts(Arrays.stream(servers).mapToInt(FakeBackendServer::port).toArray());
    }

    /** Routes all requests to servers that listen on the ports of the loopback interface. */
    void servePorts(int... ports) {
        RouteTable routes = RouteTable.of(List.of(
                route("/once/", RequestKind.ONCE),
                route("/patient/", RequestKind.ONCE, Duration.ofMinutes(1)),
                route("/safe/", RequestKind.REPEATABLE),
                route("/large/", RequestKind.LARGE_ANSWER)));
        serve(routes, MAX_HEAD_BYTES, tenants, ports);
    }

    /** Routes requests with the keys of the tenants to the servers, and those of one route without a key. */
    void serveTenants(TenantTable table, int... ports) {
        RouteTable routes = RouteTable.of(List.of(
                route("/once/", RequestKind.ONCE),
                route("/safe/", RequestKind.REPEATABLE),
                route("/public/", RequestKind.ONCE).asPublic()));
        serve(routes, MAX_TENANT_HEAD_BYTES, Optional.of(table), ports);
    }

    /** Makes the traffic path reach no server, so that it hands requests to the VM that listens on the port. */
    void handRequestsTo(int port) throws IOException {
        servePorts(IntStream.range(0, 6).map(i -> FreePorts.address().getPort()).toArray());
        state.relays(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        call("POST", "/once/settle");
        Conditions.await(() -> state.reachable().contains(false));
    }

    /** Routes requests below /other/ to the server of a second service, and all others to the servers on the ports. */
    void serveBeside(FakeBackendServer other, int... ports) {
        Route otherRoute = route("/other/", RequestKind.LARGE_ANSWER, ROUTE_TIMEOUT, "other");
        RouteTable routes = RouteTable.of(List.of(route("/once/", RequestKind.ONCE), otherRoute));
        serve(routes, MAX_HEAD_BYTES, tenants, Optional.of(server("i-other", "other", other.port())), ports);
    }

    private void serve(RouteTable routes, int headBytes, Optional<TenantTable> table, int... ports) {
        serve(routes, headBytes, table, Optional.empty(), ports);
    }

    private static BackendServer server(String id, String service, int port) {
        return new BackendServer(id, 1, service, new InetSocketAddress("127.0.0.1", port), "here", 6, true, 0);
    }

    private void serve(
            RouteTable routes,
            int headBytes,
            Optional<TenantTable> table,
            Optional<BackendServer> other,
            int... ports) {
        List<BackendServer> list = new ArrayList<>();
        for (int port : ports) {
            list.add(server("i-" + list.size(), "ledger", port));
        }
        other.ifPresent(list::add);
        CallerLimits limits = new CallerLimits(headBytes, maxBodyBytes, Duration.ofMillis(500), Duration.ofMillis(700));
        FleetConfiguration configuration = new FleetConfiguration(
                1, routes, Map.of("ledger", MAX_CONNECTIONS, "other", MAX_CONNECTIONS), limits, table);
        state.use(new Catalog(Optional.of(configuration), ServerList.of(Catalogs.revision(1), list)));
    }

    /** Returns the address at which other VMs hand over requests. */
    InetSocketAddress relayAddress() {
        return relayAddress;
    }

    /** Returns the address for callers. */
    InetSocketAddress address() {
        return address;
    }

    /** Returns the log lines with their fields. */
    List<String> logLines() {
        return logLines;
    }

    TrafficServer server() {
        return server;
    }

    FakeControlState state() {
        return state;
    }

    /** Returns the processor time that the traffic thread has used. */
    long trafficCpuNanos() {
        CompletableFuture<Long> nanos = new CompletableFuture<>();
        group.next()
                .execute(
                        () -> nanos.complete(ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime()));
        return nanos.join();
    }

    RawCaller connect() throws IOException {
        return RawCaller.connect(address);
    }

    /** Sends a request without a body and returns the answer. */
    RawCaller.Reply call(String method, String path) throws IOException {
        return RawCaller.exchange(address, request(method, path, 3000));
    }

    /** Sends a request without a body from an address of the loopback interface and returns the answer. */
    RawCaller.Reply callFrom(String caller, String method, String path) throws IOException {
        try (RawCaller connection = RawCaller.connectFrom(new InetSocketAddress(caller, 0), address)) {
            connection.send(request(method, path, 3000));
            return connection.reply();
        }
    }

    /** Sends a raw request and returns the answer. */
    RawCaller.Reply send(String request) throws IOException {
        return RawCaller.exchange(address, request);
    }

    static String request(String method, String path, int deadlineMillis) {
        return method + " " + path + " HTTP/1.1\nHost: host\nRequest-Id: r1\nDeadline: " + deadlineMillis + "\n\n";
    }

    /** Returns a complete answer of a server to the request. */
    static byte[] answer(FakeBackendServer.Received request, int status, String body, String... headerLines) {
        return request.rawAnswer(
                status,
                body,
                "Request-Id: " + request.headers().get("request-id"),
                "Signature: s",
                "Content-Length: " + body.length(),
                String.join("\r\n", headerLines));
    }

    private static Route route(String prefix, RequestKind kind) {
        return route(prefix, kind, ROUTE_TIMEOUT);
    }

    private static Route route(String prefix, RequestKind kind, Duration timeout) {
        return route(prefix, kind, timeout, "ledger");
    }

    private static Route route(String prefix, RequestKind kind, Duration timeout, String service) {
        return new Route(
                prefix,
                "host",
                prefix,
                kind,
                timeout,
                Duration.ofSeconds(1),
                1,
                2,
                List.of(new WeightedService(service, 1)));
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
