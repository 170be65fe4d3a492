package io.coppershelf.peer.internal;

import io.coppershelf.membership.Vm;
import io.coppershelf.peer.internal.FrameReader.FrameTooLongException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * One TCP connection between two VMs. Messages are offered by any thread; all else happens on the thread of the
 * selector.
 */
final class Connection implements SelectorLoop.ChannelHandler {
    private static final int QUEUE_LIMIT_BYTES = 8 * 1024 * 1024;
    private static final int QUEUE_LIMIT_FRAMES = 4096;

    private final SelectorLoop loop;
    private final Listener events;
    private final Optional<Vm> target;
    private final FrameReader reader = new FrameReader();
    private final FrameWriter writer = new FrameWriter();
    private final Deque<OutboundFrame> queue = new ArrayDeque<>();
    private final ConcurrentMap<Long, OutboundFrame> pending = new ConcurrentHashMap<>();
    private final long openedNanos = System.nanoTime();
    private int queuedBytes;
    private boolean isClosed;
    private Optional<SocketChannel> channel = Optional.empty();
    private volatile Optional<Vm> remote = Optional.empty();
    private volatile long receivedNanos = openedNanos;
    private volatile long usedNanos = openedNanos;
    private boolean isRetired;

    private Connection(SelectorLoop loop, Listener events, Optional<Vm> target) {
        this.loop = loop;
        this.events = events;
        this.target = target;
    }

    /** Returns a connection to be opened by this VM; {@link #connect} opens it. */
    static Connection outgoing(SelectorLoop loop, Listener events, Vm target) {
        return new Connection(loop, events, Optional.of(target));
    }

    /** Returns a connection that a peer opened. */
    static Connection incoming(SelectorLoop loop, Listener events, SocketChannel channel) throws IOException {
        Connection connection = new Connection(loop, events, Optional.empty());
        connection.channel = Optional.of(channel);
        configure(channel);
        channel.register(loop.selector(), SelectionKey.OP_READ, connection);
        return connection;
    }

    /** Returns the VM that this VM means to reach, empty if the peer opened the connection. */
    Optional<Vm> target() {
        return target;
    }

    /** Returns the VM at the other end, once it has introduced itself. */
    Optional<Vm> remote() {
        return remote;
    }

    void setRemote(Vm vm) {
        remote = Optional.of(vm);
    }

    long receivedNanos() {
        return receivedNanos;
    }

    long usedNanos() {
        return usedNanos;
    }

    boolean isConnecting() {
        return !channel.map(SocketChannel::isConnected).orElse(false);
    }

    boolean isHandshakePending() {
        return remote.isEmpty();
    }

    boolean isIdle() {
        synchronized (queue) {
            return queue.isEmpty() && pending.isEmpty() && !writer.isWriting();
        }
    }

    long openedNanos() {
        return openedNanos;
    }

    /** Takes no further requests; late replies still count. */
    void retire() {
        isRetired = true;
    }

    boolean isRetired() {
        return isRetired;
    }

    ConcurrentMap<Long, OutboundFrame> pending() {
        return pending;
    }

    /** Queues a frame and returns true, or returns false if the queue is full or the connection closed. */
    boolean offer(OutboundFrame outbound) {
        synchronized (queue) {
            int size = outbound.frame().remaining();
            if (isClosed || queue.size() >= QUEUE_LIMIT_FRAMES || queuedBytes + size > QUEUE_LIMIT_BYTES) {
                return false;
            }
            if (outbound.isRequest()) {
                pending.put(outbound.correlationId(), outbound);
            }
            queue.addLast(outbound);
            queuedBytes += size;
        }
        usedNanos = System.nanoTime();
        loop.execute(this::flush);
        return true;
    }

    /** Begins to open the connection; on the thread of the selector. */
    void connect() {
        try {
            SocketChannel opened = SocketChannel.open();
            channel = Optional.of(opened);
            configure(opened);
            Vm vm = target.orElseThrow();
            opened.connect(new InetSocketAddress(vm.host(), vm.peerPort()));
            opened.register(loop.selector(), SelectionKey.OP_CONNECT, this);
        } catch (IOException | RuntimeException e) {
            close();
        }
    }

    @Override
    public void onReady(SelectionKey key) throws IOException {
        if (key.isConnectable() && channel.orElseThrow().finishConnect()) {
            key.interestOps(SelectionKey.OP_READ);
            flush();
        }
        if (key.isValid() && key.isReadable()) {
            read();
        }
        if (key.isValid() && key.isWritable()) {
            flush();
        }
    }

    @Override
    public void onFailure() {
        close();
    }

    /** Closes the connection; what was queued was not sent, what was begun is lost. */
    void close() {
        synchronized (queue) {
            if (isClosed) {
                return;
            }
            isClosed = true;
            queue.forEach(OutboundFrame::fail);
            queue.clear();
        }
        pending.values().forEach(OutboundFrame::fail);
        pending.clear();
        channel.ifPresent(Connection::closeQuietly);
        events.closed(this);
    }

    private boolean isClosed() {
        synchronized (queue) {
            return isClosed;
        }
    }

    private void flush() {
        if (isConnecting()) {
            return;
        }
        SocketChannel open = channel.orElseThrow();
        try {
            boolean isDone = writer.write(open, this::nextToWrite);
            int writable = isDone ? 0 : SelectionKey.OP_WRITE;
            open.keyFor(loop.selector()).interestOps(SelectionKey.OP_READ | writable);
        } catch (IOException | RuntimeException e) {
            close();
        }
    }

    private Optional<ByteBuffer> nextToWrite() {
        synchronized (queue) {
            for (OutboundFrame next = queue.pollFirst(); next != null; next = queue.pollFirst()) {
                queuedBytes -= next.frame().remaining();
                if (next.beginWrite(System.nanoTime())) {
                    events.sent(next.frame().remaining());
                    return Optional.of(next.frame());
                }
            }
            return Optional.empty();
        }
    }

    private void read() throws IOException {
        ByteBuffer input = loop.readBuffer();
        int count = channel.orElseThrow().read(input);
        if (count < 0) {
            if (reader.isInsideFrame()) {
                events.truncated(this);
            }
            close();
            return;
        }
        receivedNanos = System.nanoTime();
        usedNanos = receivedNanos;
        input.flip();
        try {
            takeFrames(input);
        } catch (FrameTooLongException e) {
            events.frameTooLong(this, e);
        }
    }

    private void takeFrames(ByteBuffer input) throws FrameTooLongException {
        Optional<byte[]> frame = reader.next(input, events.frameLimit(this));
        while (frame.isPresent()) {
            events.received(this, frame.get());
            if (isClosed()) {
                return;
            }
            frame = reader.next(input, events.frameLimit(this));
        }
    }

    private static void configure(SocketChannel channel) throws IOException {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    }

    private static void closeQuietly(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // The channel is of no further use either way.
        }
    }

    /** Hears what happens to connections, on the thread of the selector. */
    interface Listener {
        /** Returns the largest frame that the connection may receive next, in bytes. */
        int frameLimit(Connection connection);

        /** A whole frame arrived. */
        void received(Connection connection, byte[] frame);

        /** A frame of the given size is being written. */
        void sent(int bytes);

        /** The peer announced a frame over the limit. */
        void frameTooLong(Connection connection, FrameTooLongException cause);

        /** The peer ended the connection inside a frame. */
        void truncated(Connection connection);

        /** The connection is closed. */
        void closed(Connection connection);
    }
}
