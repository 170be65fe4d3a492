package io.coppershelf.proxy;

import io.coppershelf.catalog.CallerLimits;
import io.coppershelf.outcome.ErrorKind;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * A connection of a caller. Its requests are served one after the other; reading continues meanwhile, since only a read
 * detects that the caller has disconnected.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Largest number of pipelined requests in the queue; reading pauses beyond it. */
    private static final int MAX_QUEUED = 16;

    private final TrafficContext context;
    private final CallerLimits limits;
    private final boolean isForRelays;
    private final RouteResolver routes;
    private final UsageCapGate capGate;
    private final Deque<CallerRequest> queued = new ArrayDeque<>();
    private Optional<HttpRequest> head = Optional.empty();
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private long headAtNanos;
    private long reservedBytes;
    private Optional<RequestExecution> execution = Optional.empty();
    private boolean isBusy;
    private boolean isClosing;
    private boolean isReadingStopped;
    private Optional<ScheduledFuture<?>> idleTimer = Optional.empty();
    private Optional<ScheduledFuture<?>> headTimer = Optional.empty();
    private Channel channel;
    private String address = "";

    /**
     * Creates a connection on which nothing was received yet.
     *
     * @param isForRelays whether other VMs hand requests to this one over it
     */
    CallerConnection(TrafficContext context, CallerLimits limits, boolean isForRelays) {
        this.context = context;
        this.limits = limits;
        this.isForRelays = isForRelays;
        routes = new RouteResolver(context);
        capGate = new UsageCapGate(context);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext handlerContext) {
        channel = handlerContext.channel();
    }

    @Override
    public void channelActive(ChannelHandlerContext handlerContext) {
        if (channel.remoteAddress() instanceof InetSocketAddress remote) {
            address = remote.getAddress().getHostAddress();
        }
        startIdleTimer();
    }

    @Override
    public void channelRead(ChannelHandlerContext handlerContext, Object message) {
        try {
            if (!isClosing) {
                read((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            refuse(malformed(message.decoderResult().cause()), "the request can't be read");
            return;
        }
        if (message instanceof HttpRequest request) {
            startRequest(request);
        }
        if (message instanceof HttpContent content && head.isPresent()) {
            if (body.readableBytes() + content.content().readableBytes() > limits.bodyBytes()) {
                refuse(ErrorKind.BODY_TOO_LARGE, "the body exceeds " + limits.bodyBytes() + " bytes");
                return;
            }
            if (!context.bodies().tryReserve(content.content().readableBytes(), reservedBytes)) {
                refuse(ErrorKind.OVERLOADED, "no memory is free for the body");
                return;
            }
            reservedBytes += content.content().readableBytes();
            body.writeBytes(content.content());
            startIdleTimer();
            if (message instanceof LastHttpContent) {
                complete();
            }
        }
    }

    /** Handles the arrival of bytes from the caller: if they begin a request, starts the timeout of its head. */
    void bytesArrived() {
        if (isBusy || head.isPresent() || headTimer.isPresent() || isClosing) {
            return;
        }
        headTimer = Optional.of(context.loop()
                .schedule(
                        () -> refuse(ErrorKind.SLOW_REQUEST, "the head took too long"),
                        limits.headTimeout().toMillis(),
                        TimeUnit.MILLISECONDS));
    }

    private void cancelHeadTimer() {
        headTimer.ifPresent(scheduled -> scheduled.cancel(false));
        headTimer = Optional.empty();
    }

    private void startRequest(HttpRequest request) {
        cancelHeadTimer();
        idleTimer.ifPresent(scheduled -> scheduled.cancel(false));
        head = Optional.of(request);
        headAtNanos = System.nanoTime();
        body = Unpooled.buffer();
        if (isBodyRefused(request)) {
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    /** Refuses a request whose stated length can't be accepted, before its body is read. */
    private boolean isBodyRefused(HttpRequest request) {
        long length = HttpUtil.getContentLength(request, 0L);
        if (length > limits.bodyBytes()) {
            refuse(ErrorKind.BODY_TOO_LARGE, "the body exceeds " + limits.bodyBytes() + " bytes");
            return true;
        }
        if (!context.bodies().tryReserve(length, reservedBytes)) {
            refuse(ErrorKind.OVERLOADED, "no memory is free for the body");
            return true;
        }
        context.bodies().release(length);
        return false;
    }

    private void complete() {
        HttpRequest request = head.orElseThrow();
        head = Optional.empty();
        byte[] bytes = new byte[body.readableBytes()];
        body.readBytes(bytes);
        body = Unpooled.EMPTY_BUFFER;
        queued.add(callerRequest(request, bytes));
        channel.config().setAutoRead(!isReadingStopped && queued.size() < MAX_QUEUED);
        serveNext();
    }

    private CallerRequest callerRequest(HttpRequest request, byte[] bytes) {
        HttpHeaders headers = request.headers();
        String caller = address;
        Optional<CallerRequest.Relay> relay = Optional.empty();
        if (isForRelays) {
            caller = headers.get(RelayHeaders.CALLER, "");
            relay = Optional.of(new CallerRequest.Relay(address, RelayHeaders.servers(headers, 1)));
            RelayHeaders.remove(headers);
        }
        return new CallerRequest(
                caller,
                relay,
                request.method(),
                request.uri(),
                headers,
                bytes,
                headAtNanos,
                HttpUtil.isKeepAlive(request));
    }

    private void serveNext() {
        if (isBusy || queued.isEmpty() || isClosing) {
            return;
        }
        isBusy = true;
        CallerRequest request = queued.remove();
        channel.config().setAutoRead(!isReadingStopped);
        CallerSink sink = sink(request);
        routes.resolve(request, sink)
                .ifPresent(resolved ->
                        capGate.admit(request, resolved, sink, admitted -> start(request, resolved, admitted)));
    }

    private void start(CallerRequest request, ResolvedRequest resolved, AnswerSink sink) {
        RequestExecution next = new RequestExecution(
                context,
                resolved,
                context.roundRobin().next(resolved.route()),
                request,
                routes.callerTimeout(request),
                sink);
        execution = Optional.of(next);
        next.start();
    }

    private void answered(CallerRequest request, boolean staysOpen) {
        isBusy = false;
        execution = Optional.empty();
        if (queued.isEmpty() && head.isEmpty()) {
            releaseBodies();
        }
        if (!staysOpen || !request.isKeepAlive()) {
            return;
        }
        if (queued.isEmpty()) {
            startIdleTimer();
        } else {
            context.loop().execute(this::serveNext);
        }
    }

    private void releaseBodies() {
        context.bodies().release(reservedBytes);
        reservedBytes = 0;
    }

    private void startIdleTimer() {
        idleTimer.ifPresent(scheduled -> scheduled.cancel(false));
        idleTimer = Optional.of(
                context.loop().schedule(this::idleTooLong, limits.idleTimeout().toMillis(), TimeUnit.MILLISECONDS));
    }

    /** Closes the connection unless a request is being read, queued or served. */
    void closeIfIdle() {
        if (!isBusy && head.isEmpty() && queued.isEmpty()) {
            channel.close();
        }
    }

    /** Stops reading; requests that the caller sends from now on stay unread. */
    void stopReading() {
        isReadingStopped = true;
        channel.config().setAutoRead(false);
    }

    private void idleTooLong() {
        if (head.isPresent()) {
            refuse(ErrorKind.SLOW_REQUEST, "the body took too long");
        } else {
            closeIfIdle();
        }
    }

    /** Answers a request that can't be read completely, and closes the connection. */
    private void refuse(ErrorKind kind, String reason) {
        if (isClosing) {
            return;
        }
        isClosing = true;
        head = Optional.empty();
        if (isBusy) {
            channel.close();
            return;
        }
        isBusy = true;
        Optional<CallerRequest.Relay> relay =
                isForRelays ? Optional.of(new CallerRequest.Relay(address, 0)) : Optional.empty();
        CallerRequest unreadable =
                new CallerRequest(address, relay, HttpMethod.GET, "", new DefaultHttpHeaders(), new byte[0], 0, false);
        sink(unreadable).fail(kind, reason, kind.retryAfter());
    }

    private static ErrorKind malformed(Throwable cause) {
        boolean isTooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        return isTooLong ? ErrorKind.HEAD_TOO_LARGE : ErrorKind.MALFORMED_REQUEST;
    }

    @Override
    public void channelInactive(ChannelHandlerContext handlerContext) {
        isClosing = true;
        cancelHeadTimer();
        idleTimer.ifPresent(scheduled -> scheduled.cancel(false));
        capGate.callerDisconnected();
        execution.ifPresent(RequestExecution::callerDisconnected);
        releaseBodies();
        execution = Optional.empty();
        queued.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
        handlerContext.close();
    }

    private CallerSink sink(CallerRequest request) {
        return new CallerSink(
                context.names(),
                request,
                () -> execution.map(RequestExecution::serversReached).orElse(0),
                this::write);
    }

    private void write(CallerRequest request, int status, HttpHeaders headers, byte[] bytes) {
        boolean staysOpen =
                request.isKeepAlive() && !isClosing && !context.state().isStopping();
        if (status != HttpResponseStatus.NO_CONTENT.code() && status != HttpResponseStatus.NOT_MODIFIED.code()) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(bytes.length));
        }
        if (!staysOpen) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            isClosing = true;
        }
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                Unpooled.wrappedBuffer(bytes),
                headers,
                new DefaultHttpHeaders());
        context.bodies().reserve(bytes.length);
        ChannelFuture written = channel.writeAndFlush(response);
        written.addListener(done -> context.bodies().release(bytes.length));
        if (!staysOpen) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
        answered(request, staysOpen);
    }
}
