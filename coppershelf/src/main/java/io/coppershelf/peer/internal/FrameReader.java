package io.coppershelf.peer.internal;

import java.nio.ByteBuffer;
import java.util.Optional;

/** Splits the bytes of one connection into frames: a length of four bytes, then as many bytes. */
final class FrameReader {
    private final ByteBuffer length = ByteBuffer.allocate(Integer.BYTES);
    private Optional<byte[]> body = Optional.empty();
    private int filled;

    /**
     * Reads bytes until a frame is complete or the input is exhausted.
     *
     * @param input the bytes received
     * @param limit the maximum size of the body of the next frame in bytes
     * @return the body of the frame, empty if more bytes are needed
     * @throws FrameTooLongException if the next frame exceeds the limit or has a negative length
     */
    Optional<byte[]> next(ByteBuffer input, int limit) throws FrameTooLongException {
        if (body.isEmpty() && !startBody(input, limit)) {
            return Optional.empty();
        }
        byte[] present = body.orElseThrow();
        int count = Math.min(input.remaining(), present.length - filled);
        input.get(present, filled, count);
        filled += count;
        if (filled < present.length) {
            return Optional.empty();
        }
        body = Optional.empty();
        return Optional.of(present);
    }

    /** Returns whether a frame has begun and is incomplete. */
    boolean isInsideFrame() {
        return body.isPresent() || length.position() > 0;
    }

    private boolean startBody(ByteBuffer input, int limit) throws FrameTooLongException {
        while (length.hasRemaining() && input.hasRemaining()) {
            length.put(input.get());
        }
        if (length.hasRemaining()) {
            return false;
        }
        int size = length.getInt(0);
        if (size < 0 || size > limit) {
            throw new FrameTooLongException(size, limit);
        }
        length.clear();
        body = Optional.of(new byte[size]);
        filled = 0;
        return true;
    }

    /** Thrown when a frame is longer than the connection may send. */
    static final class FrameTooLongException extends Exception {
        private static final long serialVersionUID = 1L;

        FrameTooLongException(int size, int limit) {
            super("a frame of " + size + " bytes; expected at most " + limit);
        }
    }
}
