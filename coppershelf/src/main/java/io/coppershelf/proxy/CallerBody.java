package io.coppershelf.proxy;

import io.coppershelf.http.BodyKind;
import io.coppershelf.http.BodyMemory;
import io.coppershelf.http.BodyOwner;
import io.coppershelf.http.HeldBody;
import io.coppershelf.outcome.ErrorKind;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;

/** The body of a caller's request, and the memory that it takes from its head until the request is answered. */
final class CallerBody {
    /**
     * Why a body is not accepted.
     *
     * @param kind the answer to the request
     * @param reason the text of the answer
     */
    record Refusal(ErrorKind kind, String reason) {}

    private final HeldBody held;
    private final long maxBytes;
    private final ByteBuf content = Unpooled.buffer();

    /**
     * Creates an empty body.
     *
     * @param maxBytes the largest body that is accepted, in bytes
     * @param owner the connection that it is read from
     */
    CallerBody(BodyMemory memory, long maxBytes, BodyOwner owner) {
        held = memory.open(BodyKind.REQUEST, owner);
        this.maxBytes = maxBytes;
    }

    /** Reserves memory for the stated length of the body; returns why it is not to be read, empty if it is. */
    Optional<Refusal> reserve(HttpRequest request) {
        long length = HttpUtil.getContentLength(request, 0L);
        if (length > maxBytes) {
            return Optional.of(tooLarge());
        }
        return length <= 0 || held.tryReserve(length) ? Optional.empty() : Optional.of(noMemory());
    }

    /** Appends bytes of the body; returns why it is refused, empty if it is not. */
    Optional<Refusal> append(ByteBuf bytes) {
        if (content.readableBytes() + bytes.readableBytes() > maxBytes) {
            return Optional.of(tooLarge());
        }
        if (bytes.isReadable() && !held.received(bytes.readableBytes())) {
            return Optional.of(noMemory());
        }
        content.writeBytes(bytes);
        return Optional.empty();
    }

    /** Returns the bytes of the complete body; it takes memory until it is released. */
    byte[] complete() {
        held.completed();
        byte[] bytes = new byte[content.readableBytes()];
        content.readBytes(bytes);
        content.release();
        return bytes;
    }

    /** Releases the memory of the body. */
    void release() {
        held.release();
    }

    /** Returns the refusal of a body for which there is no memory. */
    static Refusal noMemory() {
        return new Refusal(ErrorKind.OVERLOADED, "no memory is free for the body");
    }

    private Refusal tooLarge() {
        return new Refusal(ErrorKind.BODY_TOO_LARGE, "the body exceeds " + maxBytes + " bytes");
    }
}
