package io.coppershelf.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A client connection with one exchange at a time. It is reused only if the last exchange ended cleanly: the request
 * was written completely, the answer was delimited by its own length, no bytes followed it, and the server did not
 * request to close the connection.
 */
public final class HttpConnection extends ChannelInboundHandlerAdapter {
    /**
     * The largest answer that is kept in memory, in bytes; the largest ones of the expected workloads are about a
     * megabyte.
     */
    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;
    /**
     * Longest idle time of a reused connection if the server states no limit; below the ten seconds after which servers
     * typically close idle connections.
     */
    private static final long DEFAULT_IDLE_NANOS = TimeUnit.SECONDS.toNanos(8);
    /** Deducted from the limit that the server states, for the transfer of the request. */
    private static final long IDLE_MARGIN_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Largest number of interim answers and answers to other requests that are skipped while one is expected. */
    private static final int MAX_SKIPPED_ANSWERS = 8;

    private final BodyMemory memory;
    private final AnswerReader reader;
    private final BodyOwner owner = new AnswerOwner();
    private final Consumer<HttpConnection> onReusable;
    private final Consumer<HttpConnection> onClosed;
    private Channel channel;
    private Optional<AnswerListener> listener = Optional.empty();
    private Optional<AnswerHead> head = Optional.empty();
    private AnswerBody body = new AnswerBody(0);
    private int countedBytes;
    private String service = "";
    private boolean isRequestWritten;
    private boolean isInputEnded;
    private boolean isReusable = true;
    private boolean isReleasePending;
    private boolean hasSkippedAnswer;
    private int skippedAnswers;
    private Optional<HeldBody> held = Optional.empty();
    private boolean hasPaused;
    private long idleLimitNanos = DEFAULT_IDLE_NANOS;
    private long idleSinceNanos;

    HttpConnection(
            BodyMemory memory,
            Set<String> singleFields,
            Consumer<HttpConnection> onReusable,
            Consumer<HttpConnection> onClosed) {
        this.memory = memory;
        reader = new AnswerReader(singleFields);
        this.onReusable = onReusable;
        this.onClosed = onClosed;
    }

    /**
     * Returns whether the connection can be used for an exchange and has been idle for no longer than the given time.
     */
    public boolean isUsable(long maxIdleNanos, long nowNanos) {
        long idle = nowNanos - idleSinceNanos;
        return channel.isActive() && isReusable && listener.isEmpty() && idle <= Math.min(maxIdleNanos, idleLimitNanos);
    }

    /**
     * Sends a request; the listener receives the end of the exchange. The connection must be usable.
     *
     * @param requestedService the service that answers, whose share of the memory the answer takes; empty for none
     */
    public void exchange(FullHttpRequest request, String requestedService, AnswerListener answerListener) {
        service = requestedService;
        listener = Optional.of(answerListener);
        isRequestWritten = false;
        hasSkippedAnswer = false;
        skippedAnswers = 0;
        hasPaused = false;
        reader.expectBody(!request.method().equals(HttpMethod.HEAD));
        channel.writeAndFlush(request).addListener(written -> requestWritten(written.isSuccess()));
    }

    /** Returns whether the request of the last exchange was written to the socket completely. */
    public boolean isRequestWritten() {
        return isRequestWritten;
    }

    /** Returns whether an answer to another request was skipped during the last exchange. */
    public boolean hasSkippedAnswer() {
        return hasSkippedAnswer;
    }

    /**
     * Returns whether the reading of the answer was paused or given up for lack of memory, so that its delay, or its
     * end before it was complete, shows nothing of the server.
     */
    public boolean hasReadingPaused() {
        return hasPaused;
    }

    /** Returns whether the answer of the exchange in flight has an end that can be expected within a time. */
    public boolean isEndExpectedWithin(long nanos) {
        return held.map(answer -> answer.isEndExpectedWithin(nanos)).orElse(false);
    }

    /** Closes the connection; the listener of an exchange in flight is no longer called. */
    public void close() {
        listener = Optional.empty();
        isReusable = false;
        channel.close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
        idleSinceNanos = System.nanoTime();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        try {
            read(bytes);
        } catch (InvalidAnswerException e) {
            fail(true, "not an answer: " + e.getMessage());
        } finally {
            bytes.release();
        }
    }

    private void read(ByteBuf bytes) {
        while (listener.isPresent()) {
            Optional<AnswerPart> part = reader.read(bytes);
            if (part.isEmpty()) {
                countMemory();
                return;
            }
            if (part.get() instanceof AnswerPart.Head start) {
                startAnswer(start.head());
            } else if (part.get() instanceof AnswerPart.Content content) {
                append(content.bytes());
            } else {
                complete(bytes.isReadable());
            }
        }
        if (bytes.isReadable()) {
            fail(true, "bytes after the answer");
        }
    }

    private void startAnswer(AnswerHead answerHead) {
        if (reader.statedLength() > MAX_ANSWER_BYTES) {
            fail(true, "the answer states more than " + MAX_ANSWER_BYTES + " bytes");
            return;
        }
        head = Optional.of(answerHead);
        discardBody();
        body = new AnswerBody(reader.statedLength());
        countedBytes = 0;
        HeldBody answer = memory.openAnswer(owner, service);
        answer.expect(reader.statedLength());
        held = Optional.of(answer);
    }

    private void append(ByteBuf content) {
        if (body.size() + content.readableBytes() > MAX_ANSWER_BYTES) {
            fail(true, "the answer is larger than " + MAX_ANSWER_BYTES + " bytes");
            return;
        }
        body.append(content);
    }

    /** Counts what a read has added to an incomplete answer, once for all of its pieces, which may be many. */
    private void countMemory() {
        int bytes = body.size() - countedBytes;
        countedBytes = body.size();
        if (bytes > 0 && !held.map(answer -> answer.received(bytes)).orElse(true)) {
            hasPaused = true;
            fail(false, "no memory is free for the answer");
        }
    }

    /**
     * Handles the end of an answer.
     *
     * @param isFollowed whether further bytes were read with it
     */
    private void complete(boolean isFollowed) {
        AnswerHead ended = head.orElseThrow();
        head = Optional.empty();
        if (ended.isInterim()) {
            countSkipped();
            return;
        }
        byte[] bytes = takeBody();
        if (isFollowed && AnswerSyntax.containsStatusLine(new String(bytes, StandardCharsets.ISO_8859_1))) {
            // The beginning of this answer, filled up to its length with another one, the rest of which follows.
            fail(true, "not an answer: the head of another one within the body");
            return;
        }
        HttpAnswer answer = new HttpAnswer(ended.status(), ended.headers(), bytes);
        if (!listener.orElseThrow().belongsToRequest(answer)) {
            isReusable = false;
            hasSkippedAnswer = true;
            countSkipped();
            return;
        }
        isReusable = isReusable && isRequestWritten && ended.isPersistent() && channel.isActive();
        idleLimitNanos = idleLimit(ended.headers());
        AnswerListener receiver = listener.orElseThrow();
        listener = Optional.empty();
        isReleasePending = isReusable;
        if (!isReusable) {
            channel.close();
        }
        receiver.answered(answer);
    }

    /** Counts an answer that is not the expected one; a server may send such answers without end. */
    private void countSkipped() {
        skippedAnswers++;
        if (skippedAnswers > MAX_SKIPPED_ANSWERS) {
            fail(true, "more than " + MAX_SKIPPED_ANSWERS + " answers that are not the expected one");
        }
    }

    private byte[] takeBody() {
        byte[] bytes = body.toBytes();
        discardBody();
        return bytes;
    }

    private void discardBody() {
        held.ifPresent(HeldBody::release);
        held = Optional.empty();
        body = new AnswerBody(0);
        countedBytes = 0;
    }

    /**
     * Releases the connection only at the end of a read, since bytes that belong to no answer may follow the answer.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (isReleasePending && channel.isActive()) {
            isReleasePending = false;
            idleSinceNanos = System.nanoTime();
            onReusable.accept(this);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            isInputEnded = true;
            endAnswer();
        }
    }

    /**
     * Completes an answer without a length. The end of what the server sends is the only proof of it, as a connection
     * may also end without an exception; and only once the request is written, since a server that closes its
     * connection before it has read the request resets it, which shows in the rest of the write.
     */
    private void endAnswer() {
        if (listener.isPresent() && reader.isInBodyUntilClose() && !isRequestWritten) {
            return;
        }
        if (listener.isPresent() && reader.close().isPresent()) {
            isReusable = false;
            complete(false);
        }
        channel.close();
    }

    private void requestWritten(boolean isSuccess) {
        isRequestWritten = isSuccess;
        if (isSuccess && isInputEnded) {
            endAnswer();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(head.isPresent() && !hasPaused, cause.toString());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        String state = hasSkippedAnswer ? "closed after an answer to another request" : "closed by the server";
        fail(head.isPresent() && !hasPaused, hasPaused ? "closed before the answer was read" : state);
        discardBody();
        onClosed.accept(this);
    }

    private void fail(boolean isGarbled, String reason) {
        isReusable = false;
        isReleasePending = false;
        Optional<AnswerListener> failed = listener;
        listener = Optional.empty();
        channel.close();
        failed.ifPresent(receiver -> receiver.lost(isGarbled, reason));
    }

    /** Pauses and continues the reading of answers. */
    private final class AnswerOwner implements BodyOwner {
        @Override
        public void setReading(boolean isReading) {
            hasPaused |= !isReading;
            channel.config().setAutoRead(isReading);
        }

        @Override
        public void closeForMemory() {
            fail(false, "no memory is free for the answer");
        }
    }

    private static long idleLimit(HttpHeaders headers) {
        String keepAlive = headers.get("keep-alive");
        if (keepAlive == null) {
            return DEFAULT_IDLE_NANOS;
        }
        for (String parameter : keepAlive.split(",", -1)) {
            String[] pair = parameter.trim().split("=", 2);
            if (pair.length == 2 && pair[0].trim().equalsIgnoreCase("timeout") && isNumber(pair[1].trim())) {
                long seconds = Long.parseLong(pair[1].trim());
                return Math.max(0, TimeUnit.SECONDS.toNanos(seconds) - IDLE_MARGIN_NANOS);
            }
        }
        return DEFAULT_IDLE_NANOS;
    }

    private static boolean isNumber(String text) {
        return !text.isEmpty() && text.length() < 9 && text.chars().allMatch(Character::isDigit);
    }
}
