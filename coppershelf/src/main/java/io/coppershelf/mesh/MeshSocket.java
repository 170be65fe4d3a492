package io.coppershelf.mesh;

import io.coppershelf.eventlog.EventLog;
import io.coppershelf.eventlog.Fields;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.function.BiConsumer;

/** Sends and receives the datagrams of the mesh, on the control thread. */
public final class MeshSocket {
    /** The largest datagram over IPv4, in bytes. */
    private static final int MAX_DATAGRAM_BYTES = 16 * 1024;

    private static final int RECEIVE_BUFFER_BYTES = 1024 * 1024;

    private final EventLog log;
    private Channel channel;

    private MeshSocket(EventLog log) {
        this.log = log;
    }

    /**
     * Opens the socket.
     *
     * @param receiver receives the sender and the message
     */
    public static MeshSocket open(
            EventLoop loop,
            InetSocketAddress address,
            BiConsumer<InetSocketAddress, MeshMessage> receiver,
            EventLog log) {
        MeshSocket socket = new MeshSocket(log);
        socket.channel = new Bootstrap()
                .group(loop)
                .channelFactory(NioDatagramChannel::new)
                .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new ReusedReceiveBuffer(MAX_DATAGRAM_BYTES))
                .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                .handler(new Receiver(receiver, log))
                .bind(address)
                .syncUninterruptibly()
                .channel();
        return socket;
    }

    /** Sends a message to one VM; it may be lost. */
    public void send(InetSocketAddress receiver, MeshMessage message) {
        write(receiver, MeshCodec.encode(message));
        channel.flush();
    }

    /** Sends a message to several VMs. */
    public void send(Collection<InetSocketAddress> receivers, MeshMessage message) {
        if (!receivers.isEmpty()) {
            send(receivers, MeshCodec.encode(message));
        }
    }

    /** Sends an encoded message to several VMs. */
    void send(Collection<InetSocketAddress> receivers, byte[] bytes) {
        receivers.forEach(receiver -> write(receiver, bytes));
        channel.flush();
    }

    private void write(InetSocketAddress receiver, byte[] bytes) {
        if (bytes.length > MAX_DATAGRAM_BYTES) {
            log.important("mesh-message-too-long", Fields.of("bytes", bytes.length));
            return;
        }
        channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), receiver));
    }

    private static final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        private final BiConsumer<InetSocketAddress, MeshMessage> receiver;
        private final EventLog log;

        Receiver(BiConsumer<InetSocketAddress, MeshMessage> receiver, EventLog log) {
            this.receiver = receiver;
            this.log = log;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            try {
                receiver.accept(packet.sender(), MeshCodec.decode(ByteBufUtil.getBytes(packet.content())));
            } catch (IOException e) {
                log.important(
                        "mesh-message-unreadable", Fields.of("sender", packet.sender(), "reason", e.getMessage()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            log.important("mesh-socket-failed", Fields.of("reason", cause));
        }
    }
}
