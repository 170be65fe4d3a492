package io.coppershelf.mesh;

import io.coppershelf.eventlog.EventLog;
import io.coppershelf.eventlog.Fields;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LengthFieldPrepender;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Serves the catalog in force to other VMs: each TCP connection to the control port gets one frame and is then closed.
 * Runs on the control thread.
 */
@ChannelHandler.Sharable
final class SnapshotServer extends ChannelInboundHandlerAdapter {
    /** Size of the length field in front of a frame, in bytes. */
    static final int LENGTH_BYTES = 4;
    /**
     * Largest number of readers at a time; others fetch from another VM. Bounds the memory for frames that are being
     * sent.
     */
    private static final int MAX_READERS = 4;
    /**
     * Time after which the connection of a reader that has not read its frame is closed; longer than the reader's own
     * timeout.
     */
    private static final long READER_TIMEOUT_MILLIS = 3000;

    private final Supplier<Optional<Snapshot>> inForce;
    private final EventLog log;
    private int readers;

    private SnapshotServer(Supplier<Optional<Snapshot>> inForce, EventLog log) {
        this.inForce = inForce;
        this.log = log;
    }

    /** Starts to listen before it returns; a VM that can't listen for other VMs still serves callers. */
    static void listen(EventLoop loop, InetSocketAddress address, Supplier<Optional<Snapshot>> inForce, EventLog log) {
        new ServerBootstrap()
                .group(loop, loop)
                .channelFactory(NioServerSocketChannel::new)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .childHandler(new SnapshotServer(inForce, log))
                .bind(address)
                .addListener(bound -> {
                    if (!bound.isSuccess()) {
                        log.important("snapshots-not-served", Fields.of("address", address, "reason", bound.cause()));
                    }
                })
                .awaitUninterruptibly();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        readers++;
        if (readers > MAX_READERS) {
            context.close();
            return;
        }
        context.pipeline().addFirst(new LengthFieldPrepender(LENGTH_BYTES));
        context.channel().eventLoop().schedule(() -> context.close(), READER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        context.writeAndFlush(Unpooled.wrappedBuffer(SnapshotCodec.encode(inForce.get())))
                .addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        readers--;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        log.important("snapshot-not-sent", Fields.of("reader", context.channel().remoteAddress(), "reason", cause));
        context.close();
    }
}
