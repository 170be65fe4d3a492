package io.coppershelf.mesh;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Reads snapshots of other VMs over TCP, on the control thread. */
final class SnapshotClient implements SnapshotSource {
    /** Longest wait for a connection; a VM of the fleet accepts one within milliseconds. */
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    /** Longest wait for the complete snapshot, from the start of the connection. */
    private static final long REPLY_TIMEOUT_MILLIS = 1500;
    /**
     * The largest snapshot; 140,000 servers and 39,000 routes of about 90 bytes each take 16 MB, and 490,000 tenants of
     * 63 bytes each 31 MB.
     */
    private static final int MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024;

    private final EventLoop loop;
    private final Supplier<Optional<InetSocketAddress>> nextPeer;

    /**
     * Creates a client.
     *
     * @param nextPeer chooses the VM to fetch from, empty if none is known
     */
    SnapshotClient(EventLoop loop, Supplier<Optional<InetSocketAddress>> nextPeer) {
        this.loop = loop;
        this.nextPeer = nextPeer;
    }

    @Override
    public void fetch(Consumer<Snapshot> onRead, Consumer<String> onFailure) {
        Optional<InetSocketAddress> peer = nextPeer.get();
        if (peer.isEmpty()) {
            onFailure.accept("no other VM is known");
            return;
        }
        Exchange exchange = new Exchange(peer.get(), onRead, onFailure);
        new Bootstrap()
                .group(loop)
                .channelFactory(NioSocketChannel::new)
                .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        int length = SnapshotServer.LENGTH_BYTES;
                        channel.pipeline()
                                .addLast(new LengthFieldBasedFrameDecoder(MAX_SNAPSHOT_BYTES, 0, length, 0, length))
                                .addLast(exchange);
                    }
                })
                .connect(peer.get())
                .addListener(connected -> {
                    if (!connected.isSuccess()) {
                        exchange.fail("no connection: " + connected.cause());
                    }
                });
    }

    /** One exchange, which reports its result once. */
    private final class Exchange extends SimpleChannelInboundHandler<ByteBuf> {
        private final InetSocketAddress peer;
        private final Consumer<Snapshot> onRead;
        private final Consumer<String> onFailure;
        private boolean isDone;

        Exchange(InetSocketAddress peer, Consumer<Snapshot> onRead, Consumer<String> onFailure) {
            this.peer = peer;
            this.onRead = onRead;
            this.onFailure = onFailure;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            loop.schedule(
                    () -> {
                        fail("no whole snapshot within " + REPLY_TIMEOUT_MILLIS + " ms");
                        context.close();
                    },
                    REPLY_TIMEOUT_MILLIS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws IOException {
            Optional<Snapshot> snapshot = SnapshotCodec.decode(ByteBufUtil.getBytes(frame));
            context.close();
            if (snapshot.isEmpty()) {
                fail("nothing is in force there");
            } else if (!isDone) {
                isDone = true;
                onRead.accept(snapshot.get());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail("the connection was closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail(cause.toString());
            context.close();
        }

        void fail(String reason) {
            if (!isDone) {
                isDone = true;
                onFailure.accept("VM " + peer + ": " + reason);
            }
        }
    }
}
