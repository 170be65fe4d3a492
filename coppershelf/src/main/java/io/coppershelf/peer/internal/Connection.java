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

/** One TCP connection between two VMs. Any thread may offer messages; everything else runs on the selector thread. */
final class Connection implements SelectorLoop.ChannelHandler {
    private static final int MAX_QUEUED_BYTES = 8 * 1024 * 1024;
    private static final int MAX_QUEUED_FRAMES = 4096;

    private final SelectorLoop loop;
    private final Listener listener;
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
    private volatile long lastReceivedNanos = openedNanos;
    private volatile long lastUsedNanos = openedNanos;
    private boolean isRetired;

    private Connection(SelectorLoop loop, Listener listener, Optional<Vm> target) {
        this.loop = loop;
        this.listener = listener;
        this.target = target;
    }

    /** Returns a connection to be opened by this VM; {@link #connect} opens it. */
    static Connection outgoing(SelectorLoop loop, Listener listener, Vm target) {
        return new Connection(loop, listener, Optional.of(target));
    }

    /** Returns a connection that a peer opened. */
    static Connection incoming(SelectorLoop loop, Listener listener, SocketChannel channel) throws IOException {
        Connection connection = new Connection(loop, listener, Optional.empty());
        connection.channel = Optional.of(channel);
        configure(channel);
        channel.register(loop.selector(), SelectionKey.OP_READ, connection);
        return connection;
    }

    /** Returns the VM to which this VM connects, empty if the peer opened the connection. */
    Optional<Vm> target() {
        return target;
    }

    /** Returns the VM at the other end, empty until its hello is received. */
    Optional<Vm> remote() {
        return remote;
    }

    void setRemote(Vm vm) {
        remote = Optional.of(vm);
    }

    long lastReceivedNanos() {
        return lastReceivedNanos;
    }

    long lastUsedNanos() {
        return lastUsedNanos;
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

    /** Marks the connection as not to be used for new messages; replies in flight are still received. */
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
            if (isClosed || queue.size() >= MAX_QUEUED_FRAMES || queuedBytes + size > MAX_QUEUED_BYTES) {
                return false;
            }
            if (outbound.isRequest()) {
                pending.put(outbound.correlationId(), outbound);
            }
            queue.addLast(outbound);
            queuedBytes += size;
        }
        lastUsedNanos = System.nanoTime();
        loop.execute(this::flush);
        return true;
    }

    /** Starts to open the connection; runs on the selector thread. */
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

    /**
     * Closes the connection. Queued requests end as not sent, requests that were being written or wait for a reply as
     * lost.
     */
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
        listener.closed(this);
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
            boolean isAllWritten = writer.write(open, this::nextToWrite);
            int writeInterest = isAllWritten ? 0 : SelectionKey.OP_WRITE;
            open.keyFor(loop.selector()).interestOps(SelectionKey.OP_READ | writeInterest);
        } catch (IOException | RuntimeException e) {
            close();
        }
    }

    private Optional<ByteBuffer> nextToWrite() {
        synchronized (queue) {
            for (OutboundFrame next = queue.pollFirst(); next != null; next = queue.pollFirst()) {
                queuedBytes -= next.frame().remaining();
                if (next.beginWrite(System.nanoTime())) {
                    listener.sent(next.frame().remaining());
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
                listener.truncated(this);
            }
            close();
            return;
        }
        lastReceivedNanos = System.nanoTime();
        lastUsedNanos = lastReceivedNanos;
        input.flip();
        try {
            readFrames(input);
        } catch (FrameTooLongException e) {
            listener.frameTooLong(this, e);
        }
    }

    private void readFrames(ByteBuffer input) throws FrameTooLongException {
        Optional<byte[]> frame = reader.next(input, listener.frameLimit(this));
        while (frame.isPresent()) {
            listener.received(this, frame.get());
            if (isClosed()) {
                return;
            }
            frame = reader.next(input, listener.frameLimit(this));
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
            // The channel is discarded either way.
        }
    }

    /** Notified of the events of connections, on the selector thread. */
    interface Listener {
        /** Returns the maximum size of the next frame that the connection may receive, in bytes. */
        int frameLimit(Connection connection);

        /** A complete frame was received. */
        void received(Connection connection, byte[] frame);

        /** A frame of the given size is being written. */
        void sent(int bytes);

        /** The peer announced a frame that exceeds the limit. */
        void frameTooLong(Connection connection, FrameTooLongException cause);

        /** The peer ended the connection inside a frame. */
        void truncated(Connection connection);

        /** The connection is closed. */
        void closed(Connection connection);
    }
}
