package io.coppershelf.proxy;

import io.coppershelf.http.BodyKind;
import io.coppershelf.http.BodyMemory;
import io.coppershelf.http.BodyOwner;
import io.coppershelf.http.HeldBody;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.TimeUnit;

/** Writes answers to a caller. Their bytes take memory until they are written to the socket. */
final class AnswerWriter implements BodyOwner {
    /** Size of the pieces in which an answer is written, so that what a slow caller has read takes no more memory. */
    private static final int PIECE_BYTES = 64 * 1024;
    /**
     * Time for which a refused request is read and discarded. A connection that is closed while bytes arrive is reset,
     * and its caller may lose the refusal.
     */
    private static final long LINGER_MILLIS = 1000;

    private final Channel channel;
    private final BodyMemory memory;
    private int unwritten;

    AnswerWriter(Channel channel, BodyMemory memory) {
        this.channel = channel;
        this.memory = memory;
    }

    /** Writes an answer; the future completes when it is written. */
    ChannelFuture write(int status, HttpHeaders headers, byte[] bytes) {
        HeldBody held = memory.open(BodyKind.DELIVERY, this);
        held.hold(bytes.length);
        unwritten++;
        HttpResponseStatus parsed = HttpResponseStatus.valueOf(status);
        ChannelFuture last = bytes.length <= PIECE_BYTES
                ? channel.writeAndFlush(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, parsed, Unpooled.wrappedBuffer(bytes), headers, new DefaultHttpHeaders()))
                : writePieces(new DefaultHttpResponse(HttpVersion.HTTP_1_1, parsed, headers), bytes, held);
        return last.addListener(done -> {
            unwritten--;
            held.release();
        });
    }

    private ChannelFuture writePieces(DefaultHttpResponse head, byte[] bytes, HeldBody held) {
        channel.write(head);
        int start = 0;
        while (bytes.length - start > PIECE_BYTES) {
            HttpContent piece = new DefaultHttpContent(Unpooled.wrappedBuffer(bytes, start, PIECE_BYTES));
            channel.write(piece).addListener(done -> held.written(PIECE_BYTES));
            start += PIECE_BYTES;
        }
        return channel.writeAndFlush(
                new DefaultLastHttpContent(Unpooled.wrappedBuffer(bytes, start, bytes.length - start)));
    }

    /** Returns whether an answer is not written completely. */
    boolean isWriting() {
        return unwritten > 0;
    }

    /**
     * Closes the connection after the last answer.
     *
     * @param isRequestUnread whether the caller may still be sending a request that was refused
     */
    void closeAfter(ChannelFuture written, boolean isRequestUnread) {
        if (!isRequestUnread || !(channel instanceof DuplexChannel duplex)) {
            written.addListener(ChannelFutureListener.CLOSE);
            return;
        }
        written.addListener(done -> {
            duplex.shutdownOutput();
            channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        });
    }

    @Override
    public void setReading(boolean isReading) {
        // An answer that is written reads nothing.
    }

    @Override
    public void closeForMemory() {
        channel.close();
    }
}
