package io.coppershelf.gateway;

import io.coppershelf.catalog.CatalogReader;
import io.coppershelf.dispatch.FleetRetryBudget;
import io.coppershelf.eventlog.EventLog;
import io.coppershelf.eventlog.Fields;
import io.coppershelf.mesh.FleetObservations;
import io.coppershelf.mesh.FleetState;
import io.coppershelf.mesh.Membership;
import io.coppershelf.mesh.MeshMetrics;
import io.coppershelf.proxy.TrafficServer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.IntSupplier;

/** The running daemon, with one thread for the control state and one for traffic. */
public final class Gateway {
    /**
     * Time after which the load balancer has detected that the VM is not ready; it probes once a second and needs two
     * failed probes.
     */
    private static final Duration BALANCER_DETECTION = Duration.ofMillis(2600);
    /**
     * Time after which no more requests are read, although callers may still send some while few VMs are in rotation;
     * the other half of the six seconds until the process is killed is left for requests that were read.
     */
    private static final Duration READ_CUTOFF = Duration.ofSeconds(3);
    /** Time before the end of the stop at which requests in flight are broken off, so that their callers are told. */
    private static final Duration BREAK_OFF_MARGIN = Duration.ofMillis(200);
    /** Deducted from the stop limit, so that the process exits before it is killed. */
    private static final Duration STOP_MARGIN = Duration.ofMillis(500);

    private static final long STOP_POLL_MILLIS = 50;

    private final GatewaySettings settings;
    private final FleetState state;
    private final TrafficServer traffic;
    private final EventLog log;

    private Gateway(GatewaySettings settings, FleetState state, TrafficServer traffic, EventLog log) {
        this.settings = settings;
        this.state = state;
        this.traffic = traffic;
        this.log = log;
    }

    /**
     * Starts the daemon.
     *
     * @param readers creates the reader of the platform on the control thread
     */
    public static Gateway start(GatewaySettings settings, Function<EventLoop, CatalogReader> readers, EventLog log) {
        EventLoop control = newLoop("control");
        EventLoop trafficLoop = newLoop("traffic");
        Random random = new Random();
        FleetObservations observations = FleetObservations.create();
        Membership membership = new Membership(
                settings.meshAddress(),
                settings.dataCentre(),
                System.currentTimeMillis(),
                settings.seeds(),
                random,
                System.nanoTime());
        settings.relayAddress().ifPresent(relay -> membership.acceptRelays(relay.getPort()));
        PrometheusRegistry registry = new PrometheusRegistry();
        CatalogReader reader = new MeteredCatalogReader(readers.apply(control), registry);
        FleetState state = new FleetState(
                control,
                reader,
                observations,
                membership,
                random,
                settings.features().hasTenants(),
                new MeshMetrics(registry),
                log);
        if (settings.features().quota().isPresent()) {
            state.shareUsageCaps();
        }
        FleetRetryBudget budget =
                new FleetRetryBudget(settings.retryRatio(), settings.retriesPerWindow(), settings.retryWindow());
        TrafficServer traffic = new TrafficServer(
                trafficLoop,
                settings.headers(),
                state,
                observations.estimates(),
                observations.load(),
                observations.idleServers(),
                observations.limits(),
                budget,
                observations.crashes(),
                settings.dataCentre(),
                settings.features().isPrioritized(),
                settings.features().isReusePreferred(),
                settings.bodyLimit(),
                registry,
                log);
        state.start(settings.meshAddress());
        traffic.listen(settings.callerAddress(), settings.relayAddress());
        PageServer.listen(
                        control,
                        settings.readinessAddress(),
                        settings.readinessPath(),
                        () -> new PageServer.Page(state.isReady(), state.isReady() ? "ready\n" : "not ready\n"))
                .syncUninterruptibly();
        settings.metricsAddress().ifPresent(address -> serveMetrics(control, address, registry, log));
        log.important("started", Fields.of("callers", settings.callerAddress(), "mesh", settings.meshAddress()));
        return new Gateway(settings, state, traffic, log);
    }

    /**
     * Stops accepting requests and waits until those in flight are answered. Until the load balancer has detected that
     * the VM is not ready, new requests are still served if they are likely to end in time. Requests that still run at
     * the end are broken off.
     */
    public void stop() throws InterruptedException {
        long startNanos = System.nanoTime();
        log.important("stopping", Fields.of("underWay", traffic.requestsInFlight()));
        state.announceStop();
        long endNanos = startNanos + settings.stopLimit().minus(STOP_MARGIN).toNanos();
        long breakOffNanos = endNanos - BREAK_OFF_MARGIN.toNanos();
        traffic.stopAt(breakOffNanos);
        TimeUnit.NANOSECONDS.sleep(BALANCER_DETECTION.toNanos());
        traffic.closeIdleConnections();
        awaitNone(traffic::requestsInFlight, startNanos + READ_CUTOFF.toNanos());
        traffic.stopReading();
        awaitNone(traffic::connections, breakOffNanos);
        int brokenOff = traffic.requestsInFlight();
        traffic.breakOff();
        awaitNone(traffic::connections, endNanos);
        log.important("stopped", Fields.of("underWay", traffic.requestsInFlight(), "brokenOff", brokenOff));
    }

    private static void awaitNone(IntSupplier count, long limitNanos) throws InterruptedException {
        do {
            TimeUnit.MILLISECONDS.sleep(STOP_POLL_MILLIS);
        } while (count.getAsInt() > 0 && System.nanoTime() - limitNanos < 0);
    }

    /** Serves the metrics; a VM whose metrics can't be served still serves callers. */
    private static void serveMetrics(
            EventLoop control, InetSocketAddress address, PrometheusRegistry registry, EventLog log) {
        PageServer.listen(control, address, "/metrics", () -> new PageServer.Page(true, metrics(registry)))
                .addListener(bound -> {
                    if (!bound.isSuccess()) {
                        log.important("metrics-not-served", Fields.of("address", address, "reason", bound.cause()));
                    }
                });
    }

    private static EventLoop newLoop(String name) {
        return new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory(name, true), NioIoHandler.newFactory())
                .next();
    }

    private static String metrics(PrometheusRegistry registry) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toString(StandardCharsets.UTF_8);
    }
}
