package io.coppershelf.http;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/** Collects the bytes of one line after the other. */
final class LineReader {
    private static final int INITIAL_BYTES = 128;

    private byte[] line = new byte[INITIAL_BYTES];
    private int length;

    /** Returns the number of bytes of the line that is not complete yet. */
    int pendingBytes() {
        return length;
    }

    /**
     * Reads bytes up to the end of the line.
     *
     * @param maxBytes the most that the line may have, without its end
     * @return the line without its end, empty if its end has not arrived
     * @throws InvalidAnswerException if the line is longer
     */
    Optional<String> read(ByteBuf bytes, int maxBytes) {
        int lineFeed = bytes.forEachByte(ByteProcessor.FIND_LF);
        int count = (lineFeed < 0 ? bytes.writerIndex() : lineFeed) - bytes.readerIndex();
        append(bytes, Math.min(count, maxBytes + 1 - length));
        // The last byte may be the first one of the line end.
        int end = length > 0 && line[length - 1] == '\r' ? length - 1 : length;
        if (end > maxBytes) {
            throw new InvalidAnswerException("a line of more than " + maxBytes + " bytes");
        }
        if (lineFeed < 0) {
            return Optional.empty();
        }
        bytes.readerIndex(lineFeed + 1);
        length = 0;
        return Optional.of(new String(line, 0, end, StandardCharsets.ISO_8859_1));
    }

    private void append(ByteBuf bytes, int count) {
        if (length + count > line.length) {
            line = Arrays.copyOf(line, Math.max(2 * line.length, length + count));
        }
        bytes.readBytes(line, length, count);
        length += count;
    }
}
