package io.coppershelf.proxy;

import io.coppershelf.catalog.CallerLimits;
import io.coppershelf.catalog.Catalog;
import io.coppershelf.catalog.FleetConfiguration;
import io.coppershelf.dispatch.FleetLoad;
import io.coppershelf.dispatch.FleetRetryBudget;
import io.coppershelf.dispatch.IdleServerTracker;
import io.coppershelf.dispatch.ReachableChooser;
import io.coppershelf.dispatch.RetryAllocation;
import io.coppershelf.dispatch.ServerChooser;
import io.coppershelf.dispatch.ServerLimits;
import io.coppershelf.dispatch.ServerPaths;
import io.coppershelf.dispatch.ServerReachability;
import io.coppershelf.dispatch.WeightedRoundRobin;
import io.coppershelf.eventlog.EventLog;
import io.coppershelf.eventlog.LoggedTask;
import io.coppershelf.health.estimate.HealthEstimates;
import io.coppershelf.http.BodyLimit;
import io.coppershelf.http.BodyMemory;
import io.coppershelf.http.HttpConnector;
import io.coppershelf.http.MemoryCounts;
import io.coppershelf.poison.CrashRecords;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.ByteProcessor;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Serves callers on one address. */
public final class TrafficServer {
    /** Longest wait for a connection to a server; a connection within a region takes milliseconds. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
    /** Largest number of connections that wait to be accepted; beyond it callers' SYN packets are dropped. */
    private static final int BACKLOG = 1024;

    /**
     * Send buffer of each socket if the memory of the VM is stated, in bytes: what the kernel holds is no part of the
     * process but of the VM. The kernel doubles it; 64 KB suffice for 200 Mbit/s at a round-trip time of 2.8 ms.
     */
    private static final int SEND_BUFFER_BYTES = 64 * 1024;

    private static final int MAX_CHUNK_BYTES = 64 * 1024;
    private static final long SWEEP_MILLIS = 1000;
    /** Interval at which it is checked whether bodies wait for memory without progress. */
    private static final long MEMORY_CHECK_MILLIS = 250;

    private static final long REPORT_MILLIS = 1000;
    /** Room for the headers that a VM adds to the head of a caller's request. */
    private static final int RELAY_HEAD_BYTES = 512;

    private final TrafficContext context;
    private final PathCheckTimer pathChecks;
    private final ChannelGroup callers;
    private final BodyLimit bodyLimit;
    private final MemoryMetrics memoryMetrics;
    private final IdleServerReport idleServerReport;
    private final List<Channel> listeners = new ArrayList<>();

    /**
     * Creates a server that does not listen yet.
     *
     * @param loop the traffic thread
     * @param dataCentre the data centre of this VM
     * @param isPrioritized whether requests compete for the capacity of servers by their cost
     * @param isReusePreferred whether servers to which this VM has a connection are preferred
     * @param bodyLimit the memory for the bodies of requests and answers in transit
     */
    public TrafficServer(
            EventLoop loop,
            HeaderNames names,
            ControlState state,
            HealthEstimates estimates,
            FleetLoad fleetLoad,
            IdleServerTracker idleServers,
            ServerLimits limits,
            FleetRetryBudget budget,
            CrashRecords crashes,
            String dataCentre,
            boolean isPrioritized,
            boolean isReusePreferred,
            BodyLimit bodyLimit,
            PrometheusRegistry registry,
            EventLog log) {
        Random random = new Random();
        BodyMemory bodies = BodyMemory.withBackpressure(bodyLimit.bytes());
        this.bodyLimit = bodyLimit;
        memoryMetrics = new MemoryMetrics(bodies, registry, log);
        HttpConnector connector = new HttpConnector(loop, CONNECT_TIMEOUT, bodies, decisiveFields(names));
        if (bodyLimit.isStated()) {
            connector.limitSendBuffer(SEND_BUFFER_BYTES);
        }
        ServerReachability reachability = new ServerReachability(random);
        ServerPaths paths = new ServerPaths();
        pathChecks = new PathCheckTimer(loop, reachability, paths);
        ServerChooser chooser =
                new ServerChooser(dataCentre, estimates, fleetLoad, idleServers, limits, state::fleetPosition, random);
        if (isReusePreferred) {
            chooser.preferReuse(RequestWriter::maxIdleNanos);
        }
        idleServerReport = new IdleServerReport(chooser, registry, log);
        ServerConnectionPool pool = new ServerConnectionPool(
                connector,
                Optional.of(new PathObserver(reachability, paths, chooser, state, log, pathChecks::connectionFailed)));
        ReachabilityMonitor monitor = new ReachabilityMonitor(reachability, paths, pool, state, log, isReachable -> {
            state.serversReachable(isReachable);
            if (isReachable) {
                // The failures of the last seconds were those of this VM's own paths.
                chooser.forgetPathFailures();
                paths.recheckAll(System.nanoTime());
            }
        });
        ReachableChooser reachableChooser = new ReachableChooser(chooser, paths);
        callers = new DefaultChannelGroup(loop);
        context = TrafficContext.create(
                loop,
                names,
                state,
                chooser,
                reachableChooser,
                new RetryAllocation(budget, isPrioritized),
                new WeightedRoundRobin(random),
                pool,
                new ServerConnectionPool(connector, Optional.empty()),
                reachability,
                monitor,
                new TrafficMetrics(registry),
                log,
                bodies,
                new ServerBodies(chooser, bodyLimit.isStated()),
                crashes,
                new AdmissionGate(
                        isPrioritized, state, chooser, reachableChooser, new AdmissionMetrics(registry), log, random));
    }

    /** Returns the names of the header fields from which the outcome of a request is concluded. */
    private static List<String> decisiveFields(HeaderNames names) {
        List<String> fields = new ArrayList<>(RelayHeaders.ALL);
        fields.addAll(List.of(names.requestId(), names.signature(), names.notRun(), CallerSink.ERROR));
        return fields;
    }

    /**
     * Starts to listen and to serve callers.
     *
     * @param relayAddress where other VMs hand requests to this one, empty if they can't
     */
    public void listen(InetSocketAddress address, Optional<InetSocketAddress> relayAddress) {
        listeners.add(bind(address, false));
        relayAddress.ifPresent(relay -> listeners.add(bind(relay, true)));
        every(SWEEP_MILLIS, "sweep", this::sweep);
        pathChecks.start(new LoggedTask("path-checks", context.monitor()::poll, context.log()));
        every(MEMORY_CHECK_MILLIS, "memory-check", context.bodies()::relieve);
        every(REPORT_MILLIS, "report", this::report);
    }

    private void every(long millis, String name, Runnable task) {
        Runnable logged = new LoggedTask(name, task, context.log());
        context.loop().scheduleWithFixedDelay(logged, millis, millis, TimeUnit.MILLISECONDS);
    }

    private Channel bind(InetSocketAddress address, boolean isForRelays) {
        ChannelFuture bound = new ServerBootstrap()
                .group(context.loop(), context.loop())
                .channelFactory(NioServerSocketChannel::new)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new CallerInitializer(isForRelays))
                .bind(address)
                .syncUninterruptibly();
        return bound.channel();
    }

    /** Returns the number of requests that have no answer yet. */
    public int requestsInFlight() {
        return context.metrics().inFlight();
    }

    /** Returns what was done for lack of memory since the start. */
    MemoryCounts memoryCounts() {
        return context.bodies().counts();
    }

    /** Closes the connections of callers that have no request in flight; the others are closed after their answers. */
    public void closeIdleConnections() {
        context.loop()
                .execute(() -> callers.forEach(channel ->
                        channel.pipeline().get(CallerConnection.class).closeIfIdle()));
    }

    /**
     * Refuses requests that are not likely to end in time from now on.
     *
     * @param nanos the monotonic time at which requests in flight are broken off
     */
    public void stopAt(long nanos) {
        context.loop().execute(() -> context.stopDeadline().set(nanos));
    }

    /**
     * Stops accepting connections and reading requests. Requests that were read are answered, and those that are half
     * read are refused.
     */
    public void stopReading() {
        context.loop()
                .submit(() -> {
                    listeners.forEach(Channel::close);
                    callers.forEach(channel ->
                            channel.pipeline().get(CallerConnection.class).stopReading());
                })
                .syncUninterruptibly();
    }

    /** Answers all requests in flight with what is known of them. */
    public void breakOff() {
        context.loop()
                .execute(() -> callers.forEach(channel ->
                        channel.pipeline().get(CallerConnection.class).abort()));
    }

    /** Returns the number of open connections of callers. */
    public int connections() {
        return callers.size();
    }

    private void report() {
        context.admission().report();
        idleServerReport.report(context.state().catalog().servers(), System.nanoTime());
        memoryMetrics.report();
    }

    private void sweep() {
        Catalog catalog = context.state().catalog();
        context.pool().sweep(catalog.servers(), System.nanoTime());
        context.relayPool().sweep(catalog.servers(), System.nanoTime());
        context.chooser().retain(catalog.servers());
        context.reachableChooser().paths().retain(catalog.servers());
        context.serverBodies().retain(catalog.servers());
    }

    /**
     * Notifies the connection of arriving bytes before they are decoded. Empty lines are ignored, since some callers
     * send one after a body.
     */
    private static final class ByteArrivalHandler extends ChannelInboundHandlerAdapter {
        private final CallerConnection connection;

        ByteArrivalHandler(CallerConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext handlerContext, Object message) {
            if (((ByteBuf) message).forEachByte(ByteProcessor.FIND_NON_CRLF) >= 0) {
                connection.bytesArrived();
            }
            handlerContext.fireChannelRead(message);
        }
    }

    /** Sets up the pipeline of a caller's connection. */
    private final class CallerInitializer extends ChannelInitializer<Channel> {
        private final boolean isForRelays;

        CallerInitializer(boolean isForRelays) {
            this.isForRelays = isForRelays;
        }

        @Override
        protected void initChannel(Channel channel) {
            CallerLimits limits = context.state()
                    .catalog()
                    .configuration()
                    .map(FleetConfiguration::limits)
                    .orElse(CallerLimits.DEFAULT);
            callers.add(channel);
            if (bodyLimit.isStated()) {
                channel.config().setOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES);
            }
            CallerConnection connection = new CallerConnection(context, limits, isForRelays);
            int headBytes = limits.headBytes() + (isForRelays ? RELAY_HEAD_BYTES : 0);
            channel.pipeline()
                    .addLast(new ByteArrivalHandler(connection))
                    .addLast(new HttpServerCodec(headBytes, headBytes, MAX_CHUNK_BYTES))
                    .addLast(connection);
        }
    }
}
