package io.coppershelf.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.Set;
import java.util.function.Consumer;

/** Opens client connections. */
public final class HttpConnector {
    /** The smallest buffer for a read, in bytes; holds a small answer and the start of what a server adds to it. */
    private static final int MIN_READ_BYTES = 2048;

    private static final int MAX_READ_BYTES = 64 * 1024;
    /**
     * Reads of one connection before others have their turn, so that servers that send without end leave time to them.
     */
    private static final int READS_PER_TURN = 2;

    private static final RecvByteBufAllocator RECEIVE_BUFFERS = new AdaptiveRecvByteBufAllocator(
                    MIN_READ_BYTES, MIN_READ_BYTES, MAX_READ_BYTES)
            .maxMessagesPerRead(READS_PER_TURN);

    private final Bootstrap bootstrap;
    private final BodyMemory memory;
    private final Set<String> singleFields;

    /**
     * Creates a connector whose connections run on the group.
     *
     * @param memory bounds the bodies of answers
     * @param singleFields the names of header fields on which decisions rest; an answer in which one of them stands
     *     more than once is not accepted
     */
    public HttpConnector(
            EventLoopGroup group, Duration connectTimeout, BodyMemory memory, Collection<String> singleFields) {
        this.memory = memory;
        this.singleFields = Set.copyOf(singleFields);
        bootstrap = new Bootstrap()
                .group(group)
                .channelFactory(NioSocketChannel::new)
                .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, RECEIVE_BUFFERS)
                // Reports the end of the input apart from the end of the connection.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis());
    }

    /** Bounds the bytes of requests that the kernel holds for each connection. */
    public void limitSendBuffer(int bytes) {
        bootstrap.option(ChannelOption.SO_SNDBUF, bytes);
    }

    /**
     * Opens a connection.
     *
     * @param onOpen receives the open connection
     * @param onFailure receives the cause if there is no connection; nothing was sent then
     * @param onReusable receives the connection each time that it can be reused
     * @param onClosed receives an open connection when it has ended
     */
    public void open(
            InetSocketAddress address,
            Consumer<HttpConnection> onOpen,
            Consumer<Throwable> onFailure,
            Consumer<HttpConnection> onReusable,
            Consumer<HttpConnection> onClosed) {
        HttpConnection connection = new HttpConnection(memory, singleFields, onReusable, onClosed);
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpRequestEncoder()).addLast(connection);
                    }
                })
                .connect(address);
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                onOpen.accept(connection);
            } else {
                onFailure.accept(done.cause());
            }
        });
    }
}
