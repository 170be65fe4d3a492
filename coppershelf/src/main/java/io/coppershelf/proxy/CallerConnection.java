package io.coppershelf.proxy;

import io.coppershelf.catalog.CallerLimits;
import io.coppershelf.http.BodyOwner;
import io.coppershelf.outcome.ErrorKind;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
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
final class CallerConnection extends ChannelInboundHandlerAdapter implements BodyOwner {
    /** Largest number of pipelined requests in the queue; reading pauses beyond it. */
    private static final int MAX_QUEUED = 16;

    private final TrafficContext context;
    private final CallerLimits limits;
    private final boolean isForRelays;
    private final RouteResolver routes;
    private final UsageCapGate capGate;
    private final Deque<CallerRequest> queued = new ArrayDeque<>();
    private Optional<HttpRequest> head = Optional.empty();
    private Optional<CallerBody> body = Optional.empty();
    private long headAtNanos;
    /** The bodies of the request that is served and of those in the queue. */
    private final Deque<CallerBody> bodies = new ArrayDeque<>();

    private Optional<RequestExecution> execution = Optional.empty();
    private boolean isBusy;
    private boolean isClosing;
    private boolean isReadingStopped;
    private boolean isReadingPaused;
    private boolean isBodyUnread;
    private Optional<ScheduledFuture<?>> idleTimer = Optional.empty();
    private Optional<ScheduledFuture<?>> headTimer = Optional.empty();
    private Channel channel;
    private Optional<AnswerWriter> answers = Optional.empty();
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
        answers = Optional.of(new AnswerWriter(channel, context.bodies()));
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
            refuse(CallerRequest.decodingError(message.decoderResult().cause()), "the request can't be read");
            return;
        }
        if (message instanceof HttpRequest request) {
            startRequest(request);
        }
        if (message instanceof HttpContent content && head.isPresent()) {
            Optional<CallerBody.Refusal> refusal = body.orElseThrow().append(content.content());
            if (refusal.isPresent()) {
                refuse(refusal.get());
                return;
            }
            startBodyTimer();
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
        CallerBody started = new CallerBody(context.bodies(), limits.bodyBytes(), this);
        body = Optional.of(started);
        Optional<CallerBody.Refusal> refusal = started.reserve(request);
        if (refusal.isPresent()) {
            refuse(refusal.get());
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void complete() {
        HttpRequest request = head.orElseThrow();
        head = Optional.empty();
        CallerBody completed = body.orElseThrow();
        body = Optional.empty();
        bodies.add(completed);
        queued.add(CallerRequest.of(request, completed.complete(), address, isForRelays, headAtNanos));
        updateReading();
        serveNext();
    }

    private void serveNext() {
        if (isBusy || queued.isEmpty() || isClosing) {
            return;
        }
        isBusy = true;
        CallerRequest request = queued.remove();
        updateReading();
        CallerSink sink = sink(request);
        routes.resolve(request, sink)
                .ifPresent(resolved ->
                        capGate.admit(request, resolved, sink, admitted -> start(request, resolved, admitted)));
    }

    private void start(CallerRequest request, ResolvedRequest resolved, AnswerSink sink) {
        String service = context.roundRobin().next(resolved.route());
        if (routes.refuseIfTooLate(request, resolved, service, sink)) {
            return;
        }
        RequestExecution next =
                new RequestExecution(context, resolved, service, request, routes.callerTimeout(request), sink);
        execution = Optional.of(next);
        next.start();
    }

    private void answered(CallerRequest request, boolean staysOpen) {
        isBusy = false;
        execution = Optional.empty();
        Optional.ofNullable(bodies.poll()).ifPresent(CallerBody::release);
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
        body.ifPresent(CallerBody::release);
        body = Optional.empty();
        bodies.forEach(CallerBody::release);
        bodies.clear();
    }

    private void updateReading() {
        channel.config().setAutoRead(!isReadingStopped && !isReadingPaused && queued.size() < MAX_QUEUED);
    }

    @Override
    public void setReading(boolean isReading) {
        isReadingPaused = !isReading;
        updateReading();
        startBodyTimer();
    }

    @Override
    public void closeForMemory() {
        refuse(CallerBody.noMemory());
    }

    /** Starts the timeout of the rest of a body; while reading is paused, the caller can't send it. */
    private void startBodyTimer() {
        idleTimer.ifPresent(scheduled -> scheduled.cancel(false));
        if (!isReadingPaused && !isClosing) {
            startIdleTimer();
        }
    }

    private void startIdleTimer() {
        idleTimer.ifPresent(scheduled -> scheduled.cancel(false));
        idleTimer = Optional.of(
                context.loop().schedule(this::idleTooLong, limits.idleTimeout().toMillis(), TimeUnit.MILLISECONDS));
    }

    /** Closes the connection unless a request is being read, queued or served. */
    void closeIfIdle() {
        if (!isBusy && headTimer.isEmpty() && head.isEmpty() && queued.isEmpty() && !isWriting()) {
            channel.close();
        }
    }

    /**
     * Stops reading, as the VM stops. A request that is half read is refused, but for one behind another request, which
     * is closed with the connection after the answer to that.
     */
    void stopReading() {
        if (isClosing) {
            return;
        }
        if (!isBusy && (head.isPresent() || headTimer.isPresent())) {
            refuse(ErrorKind.STOPPING, "the VM stops");
            return;
        }
        isBodyUnread = head.isPresent();
        isReadingStopped = true;
        updateReading();
        closeIfIdle();
    }

    /** Answers the request in flight with what is known of it, as the VM stops. */
    void abort() {
        execution.ifPresent(RequestExecution::abort);
    }

    private boolean isWriting() {
        return answers.map(AnswerWriter::isWriting).orElse(false);
    }

    private void idleTooLong() {
        if (head.isPresent()) {
            refuse(ErrorKind.SLOW_REQUEST, "the body took too long");
        } else if (isWriting()) {
            // A complete answer is delivered however slowly the caller reads it.
            startIdleTimer();
        } else {
            closeIfIdle();
        }
    }

    private void refuse(CallerBody.Refusal refusal) {
        refuse(refusal.kind(), refusal.reason());
    }

    /** Answers a request that can't be read completely, and closes the connection. */
    private void refuse(ErrorKind kind, String reason) {
        if (isClosing) {
            return;
        }
        isClosing = true;
        isBodyUnread = head.isPresent() || headTimer.isPresent();
        head = Optional.empty();
        body.ifPresent(CallerBody::release);
        body = Optional.empty();
        if (isBusy) {
            channel.close();
            return;
        }
        isBusy = true;
        CallerRequest unreadable = CallerRequest.unreadable(address, isForRelays);
        sink(unreadable).fail(kind, reason, kind.retryAfter());
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
        AnswerWriter writer = answers.orElseThrow();
        ChannelFuture written = writer.write(status, headers, bytes);
        if (!staysOpen) {
            writer.closeAfter(written, isBodyUnread);
        }
        answered(request, staysOpen);
    }
}
