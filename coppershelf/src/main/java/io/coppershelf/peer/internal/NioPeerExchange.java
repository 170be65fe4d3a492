package io.coppershelf.peer.internal;

import com.google.common.flogger.FluentLogger;
import io.coppershelf.membership.FleetView;
import io.coppershelf.membership.Vm;
import io.coppershelf.operator.HybridClock;
import io.coppershelf.peer.LinkFilter;
import io.coppershelf.peer.MessageFields;
import io.coppershelf.peer.PeerExchange;
import io.coppershelf.peer.PeerMessage;
import io.coppershelf.peer.PeerMessageCodec;
import io.coppershelf.peer.PeerReply;
import io.coppershelf.peer.internal.FrameReader.FrameTooLongException;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** The peer exchange over TCP sockets, which one selector thread reads and writes. */
public final class NioPeerExchange implements PeerExchange {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_UNKNOWN_SENDER_FRAME_BYTES = 64 * 1024;
    private static final int MAX_HELLO_FRAME_BYTES = 1024;
    private static final long ONE_WAY_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final CodecTable codecs = new CodecTable();
    private final FleetView.Source fleet;
    private final LinkFilter filter;
    private final PeerMetrics metrics;
    private final TrafficThreads traffic;
    private final SelectorLoop loop;
    private final ConnectionPool pool;
    private final Receiver receiver;
    private final AtomicLong correlationIds = new AtomicLong();
    private final PeerClock clock = new PeerClock();
    private Optional<ServerSocketChannel> serverChannel = Optional.empty();

    /**
     * Creates an exchange that does not listen yet.
     *
     * @param fleet provides this VM and the VMs that count as known
     * @param trafficThreads the number of threads for handlers
     */
    public NioPeerExchange(FleetView.Source fleet, LinkFilter filter, PrometheusRegistry registry, int trafficThreads) {
        this.fleet = fleet;
        this.filter = filter;
        metrics = new PeerMetrics(registry);
        traffic = new TrafficThreads(trafficThreads);
        pool = new ConnectionPool(this::open, this::isReplaced);
        loop = new SelectorLoop(openSelector(), () -> pool.sweep(System.nanoTime()), pool::isBusy);
        receiver = new Receiver(codecs, fleet, filter, metrics, traffic, clock);
        metrics.registerConnectionGauge(registry, pool::size);
        codecs.add(Hello.CODEC, Optional.empty());
    }

    /** Stamps messages with the clock from now on. */
    public void useClock(HybridClock hybridClock) {
        clock.use(hybridClock);
    }

    /**
     * Listens on the address; connections are served from then on.
     *
     * @param port the TCP port, 0 for any
     * @return the port
     * @throws UncheckedIOException if the address can't be bound
     */
    public int listen(String host, int port) {
        try {
            ServerSocketChannel channel = ServerSocketChannel.open();
            channel.configureBlocking(false);
            channel.bind(new InetSocketAddress(host, port), 1024);
            channel.register(loop.selector(), SelectionKey.OP_ACCEPT, new Acceptor(channel));
            serverChannel = Optional.of(channel);
            loop.start();
            return channel.socket().getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException("can't listen on " + host + ":" + port, e);
        }
    }

    /** Closes all connections and stops the threads. */
    public void close() {
        loop.execute(() -> {
            serverChannel.ifPresent(NioPeerExchange::closeQuietly);
            pool.closeAll();
        });
        loop.stop();
        traffic.stop();
    }

    @Override
    public void register(PeerMessageCodec<?> codec) {
        codecs.add(codec, Optional.empty());
    }

    @Override
    public <T extends PeerMessage> void register(PeerMessageCodec<T> codec, Handler<T> handler) {
        codecs.add(codec, Optional.of(handler));
    }

    @Override
    public void send(Vm target, PeerMessage message) {
        ByteBuffer frame = codecs.frame(message, 0, Envelope.Kind.ONE_WAY, clock.stamp());
        long now = System.nanoTime();
        if (!isTooLong(frame) && filter.passes(self().id(), target.id())) {
            pool.connectionTo(target)
                    .ifPresent(connection ->
                            connection.offer(OutboundFrame.oneWay(frame, now, now + ONE_WAY_EXPIRY_NANOS)));
        }
    }

    @Override
    public CompletableFuture<PeerReply> request(Vm target, PeerMessage message, Duration timeout) {
        CompletableFuture<PeerReply> result = new CompletableFuture<>();
        if (target.id().equals(self().id())) {
            receiver.handleLocally(self().id(), message, reply -> result.complete(new PeerReply.Received(reply)));
            return result.completeOnTimeout(new PeerReply.Lost(), timeout.toNanos(), TimeUnit.NANOSECONDS);
        }
        long id = correlationIds.incrementAndGet();
        ByteBuffer frame = codecs.frame(message, id, Envelope.Kind.REQUEST, clock.stamp());
        if (!filter.passes(self().id(), target.id())) {
            return result.completeOnTimeout(new PeerReply.Lost(), timeout.toNanos(), TimeUnit.NANOSECONDS);
        }
        long now = System.nanoTime();
        OutboundFrame outbound = OutboundFrame.request(
                frame, id, now, now + timeout.toNanos(), reply -> traffic.execute(() -> result.complete(reply)));
        if (isTooLong(frame)
                || !pool.connectionTo(target)
                        .map(connection -> connection.offer(outbound))
                        .orElse(false)) {
            outbound.fail();
        }
        return result;
    }

    private boolean isTooLong(ByteBuffer frame) {
        boolean isTooLong = frame.remaining() - Integer.BYTES > MessageFields.MAX_FRAME_BYTES;
        if (isTooLong) {
            metrics.dropped(DropReason.FRAME_TOO_LONG, self().id(), "a message of this VM");
        }
        return isTooLong;
    }

    private Vm self() {
        return fleet.current().self();
    }

    private Connection open(Vm target) {
        Connection connection = Connection.outgoing(loop, connectionListener(), target);
        connection.offer(helloTo(target.id(), target.incarnation()));
        loop.execute(connection::connect);
        return connection;
    }

    private OutboundFrame helloTo(String id, long incarnation) {
        Hello hello = new Hello(Hello.VERSION, self(), id, incarnation);
        long now = System.nanoTime();
        return OutboundFrame.oneWay(
                codecs.frame(hello, 0, Envelope.Kind.ONE_WAY, clock.stamp()), now, now + ONE_WAY_EXPIRY_NANOS);
    }

    private boolean isReplaced(Vm vm) {
        return fleet.current()
                .vm(vm.id())
                .filter(present -> present.incarnation() > vm.incarnation())
                .isPresent();
    }

    private Connection.Listener connectionListener() {
        return new ConnectionListener();
    }

    private static Selector openSelector() {
        try {
            return Selector.open();
        } catch (IOException e) {
            throw new UncheckedIOException("can't open a selector", e);
        }
    }

    private static void closeQuietly(ServerSocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            logger.atFine().withCause(e).log("[peer] Could not close the listening socket.");
        }
    }

    /** Passes the events of connections to the receiver. */
    private final class ConnectionListener implements Connection.Listener {
        @Override
        public int frameLimit(Connection connection) {
            if (connection.isHandshakePending()) {
                return MAX_HELLO_FRAME_BYTES;
            }
            boolean isTrusted = connection.target().isPresent()
                    || receiver.isKnown(connection.remote().orElseThrow());
            return isTrusted ? MessageFields.MAX_FRAME_BYTES : MAX_UNKNOWN_SENDER_FRAME_BYTES;
        }

        @Override
        public void received(Connection connection, byte[] frame) {
            metrics.received(frame.length);
            if (!connection.isHandshakePending()) {
                receiver.receive(connection, frame);
                return;
            }
            Optional<Hello> hello = receiver.readHello(connection, frame);
            hello.ifPresent(received -> {
                connection.setRemote(received.sender());
                if (connection.target().isEmpty()) {
                    connection.offer(
                            helloTo(received.sender().id(), received.sender().incarnation()));
                }
            });
        }

        @Override
        public void sent(int bytes) {
            metrics.sent(bytes);
        }

        @Override
        public void frameTooLong(Connection connection, FrameTooLongException cause) {
            receiver.drop(connection, DropReason.FRAME_TOO_LONG, cause.getMessage());
        }

        @Override
        public void truncated(Connection connection) {
            receiver.drop(connection, DropReason.TRUNCATED, "the connection ended inside a frame");
        }

        @Override
        public void closed(Connection connection) {
            pool.remove(connection);
        }
    }

    /** Accepts connections of peers. */
    private final class Acceptor implements SelectorLoop.ChannelHandler {
        private final ServerSocketChannel channel;

        Acceptor(ServerSocketChannel channel) {
            this.channel = channel;
        }

        @Override
        public void onReady(SelectionKey key) throws IOException {
            for (SocketChannel accepted = channel.accept(); accepted != null; accepted = channel.accept()) {
                pool.add(Connection.incoming(loop, connectionListener(), accepted));
            }
        }

        @Override
        public void onFailure() {
            logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).log("[peer] Could not accept a connection.");
        }
    }
}
