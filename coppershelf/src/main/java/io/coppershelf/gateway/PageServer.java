package io.coppershelf.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

/** Serves one page on one path, for the load balancer or for operators. */
final class PageServer {
    private PageServer() {}

    /** A page: whether its status is OK, and its text. */
    record Page(boolean isOk, String text) {}

    /** Starts to listen; the page is generated for each request. */
    static ChannelFuture listen(EventLoop loop, InetSocketAddress address, String path, Supplier<Page> page) {
        return new ServerBootstrap()
                .group(loop, loop)
                .channelFactory(NioServerSocketChannel::new)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpServerCodec()).addLast(new Handler(path, page));
                    }
                })
                .bind(address);
    }

    private static final class Handler extends SimpleChannelInboundHandler<HttpObject> {
        private final String path;
        private final Supplier<Page> page;
        private boolean isKeepAlive;
        private boolean isFound;

        Handler(String path, Supplier<Page> page) {
            this.path = path;
            this.page = page;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (message instanceof HttpRequest request) {
                isKeepAlive = HttpUtil.isKeepAlive(request)
                        && !message.decoderResult().isFailure();
                isFound = request.uri().equals(path);
            }
            if (message instanceof LastHttpContent) {
                answer(context);
            }
        }

        private void answer(ChannelHandlerContext context) {
            Page current = isFound ? page.get() : new Page(false, "no such page\n");
            HttpResponseStatus failure =
                    isFound ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.NOT_FOUND;
            byte[] text = current.text().getBytes(StandardCharsets.UTF_8);
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    current.isOk() ? HttpResponseStatus.OK : failure,
                    Unpooled.wrappedBuffer(text));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(text.length))
                    .set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
            if (!isKeepAlive) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
                return;
            }
            context.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
