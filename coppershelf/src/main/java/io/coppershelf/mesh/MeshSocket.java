package io.coppershelf.mesh;

import io.coppershelf.eventlog.EventLog;
import io.coppershelf.eventlog.Fields;
import io.netty.channel.EventLoop;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoOps;
import io.netty.channel.nio.NioSelectableChannelIoHandle;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.util.Collection;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Sends and receives the datagrams of the mesh, on the control thread. The socket is registered with the event loop
 * directly: a VM of a large fleet receives about 100 small datagrams a second, and a channel pipeline takes more
 * processor time for each of them than the system call and the decoding.
 */
public final class MeshSocket {
    /** The largest datagram that is sent or received, in bytes. */
    private static final int MAX_DATAGRAM_BYTES = 16 * 1024;

    private static final int RECEIVE_BUFFER_BYTES = 1024 * 1024;

    private final DatagramChannel channel;
    private final EventLog log;
    private final MeshCodec codec = new MeshCodec();
    private final ByteBuffer outgoing = ByteBuffer.allocateDirect(MAX_DATAGRAM_BYTES);

    private MeshSocket(DatagramChannel channel, EventLog log) {
        this.channel = channel;
        this.log = log;
    }

    /**
     * Opens the socket.
     *
     * @param loop a loop for NIO
     * @param receiver receives the sender and the message
     * @throws UncheckedIOException if the address can't be used
     */
    public static MeshSocket open(
            EventLoop loop,
            InetSocketAddress address,
            BiConsumer<InetSocketAddress, MeshMessage> receiver,
            EventLog log) {
        MeshSocket socket = new MeshSocket(bind(address), log);
        ((IoEventLoop) loop)
                .register(new Receiver(socket.channel, receiver, log))
                .addListener((Future<IoRegistration> registered) -> {
                    if (registered.isSuccess()) {
                        registered.getNow().submit(NioIoOps.READ);
                    } else {
                        log.important("mesh-socket-failed", Fields.of("reason", registered.cause()));
                    }
                });
        return socket;
    }

    private static DatagramChannel bind(InetSocketAddress address) {
        try {
            DatagramChannel channel = DatagramChannel.open();
            try {
                channel.configureBlocking(false);
                channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
                channel.bind(address);
                return channel;
            } catch (IOException e) {
                channel.close();
                throw e;
            }
        } catch (IOException e) {
            throw new UncheckedIOException("can't receive datagrams at " + address, e);
        }
    }

    /** Sends a message to one VM; it may be lost. */
    public void send(InetSocketAddress receiver, MeshMessage message) {
        send(List.of(receiver), message);
    }

    /** Sends a message to several VMs; it may be lost on the way to each of them. */
    public void send(Collection<InetSocketAddress> receivers, MeshMessage message) {
        if (!receivers.isEmpty()) {
            send(receivers, codec.encodeNext(message));
        }
    }

    /** Sends an encoded message to several VMs. */
    void send(Collection<InetSocketAddress> receivers, byte[] bytes) {
        if (bytes.length > MAX_DATAGRAM_BYTES) {
            log.important("mesh-message-too-long", Fields.of("bytes", bytes.length));
            return;
        }
        outgoing.clear().put(bytes).flip();
        for (InetSocketAddress receiver : receivers) {
            outgoing.rewind();
            write(receiver);
        }
    }

    private void write(InetSocketAddress receiver) {
        if (receiver.isUnresolved()) {
            return;
        }
        try {
            channel.send(outgoing, receiver);
        } catch (IOException e) {
            // Lost like any other datagram; a VM that is down or unreachable is detected by its silence.
            outgoing.rewind();
        }
    }

    /** Reads one datagram for each event, so that other work of the thread goes on while many arrive. */
    private static final class Receiver extends NioSelectableChannelIoHandle<DatagramChannel> {
        private final BiConsumer<InetSocketAddress, MeshMessage> receiver;
        private final EventLog log;
        private final MeshCodec codec = new MeshCodec();
        private final ByteBuffer incoming = ByteBuffer.allocateDirect(MAX_DATAGRAM_BYTES);
        private final byte[] bytes = new byte[MAX_DATAGRAM_BYTES];

        Receiver(DatagramChannel channel, BiConsumer<InetSocketAddress, MeshMessage> receiver, EventLog log) {
            super(channel);
            this.receiver = receiver;
            this.log = log;
        }

        @Override
        protected void handle(DatagramChannel channel, SelectionKey key) {
            try {
                incoming.clear();
                InetSocketAddress sender = (InetSocketAddress) channel.receive(incoming);
                if (sender != null) {
                    int length = incoming.flip().remaining();
                    incoming.get(bytes, 0, length);
                    apply(sender, length);
                }
            } catch (IOException | RuntimeException e) {
                log.important("mesh-socket-failed", Fields.of("reason", e));
            }
        }

        @Override
        public void close() throws IOException {
            selectableChannel().close();
        }

        private void apply(InetSocketAddress sender, int length) {
            MeshMessage message;
            try {
                message = codec.decodeNext(bytes, length);
            } catch (IOException e) {
                log.important("mesh-message-unreadable", Fields.of("sender", sender, "reason", e.getMessage()));
                return;
            }
            receiver.accept(sender, message);
        }
    }
}
