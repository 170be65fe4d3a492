package io.coppershelf.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Consumer;

/** Opens client connections. */
public final class HttpConnector {
    private static final int MAX_INITIAL_LINE_BYTES = 4096;
    private static final int MAX_HEAD_BYTES = 32 * 1024;
    private static final int MAX_CHUNK_BYTES = 64 * 1024;

    private final Bootstrap bootstrap;
    private final BodyMemory memory;

    /**
     * Creates a connector whose connections run on the group.
     *
     * @param memory bounds the bodies of answers
     */
    public HttpConnector(EventLoopGroup group, Duration connectTimeout, BodyMemory memory) {
        this.memory = memory;
        bootstrap = new Bootstrap()
                .group(group)
                .channelFactory(NioSocketChannel::new)
                .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .option(ChannelOption.TCP_NODELAY, true)
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
        HttpConnection connection = new HttpConnection(memory, onReusable, onClosed);
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec(
                                        MAX_INITIAL_LINE_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES, false))
                                .addLast(connection);
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
