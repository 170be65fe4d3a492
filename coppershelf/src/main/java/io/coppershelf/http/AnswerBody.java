package io.coppershelf.http;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects a body. The bytes are copied, since a view of a few bytes would keep the whole buffer of a read: the memory
 * is at most about twice the size of the body, however small its pieces are.
 */
final class AnswerBody {
    private static final int FIRST_SEGMENT_BYTES = 512;
    private static final int MAX_SEGMENT_BYTES = 64 * 1024;

    private final List<byte[]> fullSegments = new ArrayList<>();
    private byte[] segment;
    private int segmentBytes;
    private int fullBytes;

    /**
     * Creates an empty body.
     *
     * @param statedLength the length that the answer states, 0 if it states none
     */
    AnswerBody(long statedLength) {
        boolean isSmall = statedLength > 0 && statedLength <= MAX_SEGMENT_BYTES;
        segment = new byte[isSmall ? (int) statedLength : FIRST_SEGMENT_BYTES];
    }

    /** Appends the readable bytes. */
    void append(ByteBuf bytes) {
        while (bytes.isReadable()) {
            if (segmentBytes == segment.length) {
                fullSegments.add(segment);
                fullBytes += segmentBytes;
                segment = new byte[Math.min(MAX_SEGMENT_BYTES, 2 * segment.length)];
                segmentBytes = 0;
            }
            int count = Math.min(segment.length - segmentBytes, bytes.readableBytes());
            bytes.readBytes(segment, segmentBytes, count);
            segmentBytes += count;
        }
    }

    int size() {
        return fullBytes + segmentBytes;
    }

    /** Returns all bytes; the body must not be used any more. */
    byte[] toBytes() {
        if (fullSegments.isEmpty() && segmentBytes == segment.length) {
            return segment;
        }
        byte[] bytes = new byte[size()];
        int position = 0;
        for (byte[] full : fullSegments) {
            System.arraycopy(full, 0, bytes, position, full.length);
            position += full.length;
        }
        System.arraycopy(segment, 0, bytes, position, segmentBytes);
        return bytes;
    }
}
