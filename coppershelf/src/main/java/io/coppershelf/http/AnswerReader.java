package io.coppershelf.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Reads the answers on one connection from its bytes, by the rules of RFC 9112. Of what the standard lets a recipient
 * tolerate, only a line feed without a carriage return and white space before a colon are accepted: a more lenient
 * reader takes the beginning of one answer and the end of another for a single answer. Has neither a connection nor a
 * clock.
 */
final class AnswerReader {
    private static final int MAX_STATUS_LINE_BYTES = 4096;
    /** The most bytes of all header fields of an answer, or of all trailer fields. */
    private static final int MAX_FIELDS_BYTES = 32 * 1024;
    /** Bounds the memory of a head, since a parsed field takes many times the bytes of a short line. */
    private static final int MAX_FIELDS = 256;

    private static final int MAX_CHUNK_LINE_BYTES = 256;
    private static final int MAX_DIGITS = 15;
    private static final int SWITCHING_PROTOCOLS = 101;

    private enum State {
        STATUS_LINE,
        HEADERS,
        BODY,
        BODY_UNTIL_CLOSE,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS,
        END
    }

    private final Set<String> singleFields;
    private final LineReader lines = new LineReader();
    private State state = State.STATUS_LINE;
    private boolean isBodyExpected = true;
    private AnswerSyntax.StatusLine statusLine = new AnswerSyntax.StatusLine(1, 0);
    private HttpHeaders headers = newHeaders();
    private int fields;
    private int fieldBytes;
    private long remainingBytes;

    /**
     * Creates a reader.
     *
     * @param singleFields the names of fields that stand at most once in a head, in addition to Content-Length, since
     *     the caller's decisions rest on them
     */
    AnswerReader(Set<String> singleFields) {
        this.singleFields = singleFields;
    }

    /** Sets whether the answers to the request that is sent next may have a body; those to HEAD have none. */
    void expectBody(boolean isExpected) {
        isBodyExpected = isExpected;
    }

    /** Returns the length that the head states, 0 if there is no body or its length is unknown. */
    long statedLength() {
        return state == State.BODY ? remainingBytes : 0;
    }

    /**
     * Reads the next part.
     *
     * @return empty if more bytes are needed
     * @throws InvalidAnswerException if the bytes are no answer; the reader can't be used any more
     */
    Optional<AnswerPart> read(ByteBuf bytes) {
        while (state == State.END || bytes.isReadable()) {
            Optional<AnswerPart> part =
                    switch (state) {
                        case STATUS_LINE -> readStatusLine(bytes);
                        case HEADERS -> readHeader(bytes);
                        case BODY -> readBody(bytes);
                        case BODY_UNTIL_CLOSE -> content(bytes, bytes.readableBytes());
                        case CHUNK_SIZE -> readChunkSize(bytes);
                        case CHUNK -> readChunk(bytes);
                        case CHUNK_END -> readChunkEnd(bytes);
                        case TRAILERS -> readTrailer(bytes);
                        case END -> endOfAnswer();
                    };
            if (part.isPresent()) {
                return part;
            }
        }
        return Optional.empty();
    }

    /** Returns whether the body is read that only the end of the input completes. */
    boolean isInBodyUntilClose() {
        return state == State.BODY_UNTIL_CLOSE;
    }

    /** Ends the input, which the server closed in order; returns the end of an answer that it completes. */
    Optional<AnswerPart> close() {
        return state == State.BODY_UNTIL_CLOSE ? endOfAnswer() : Optional.empty();
    }

    private Optional<AnswerPart> readStatusLine(ByteBuf bytes) {
        lines.read(bytes, MAX_STATUS_LINE_BYTES).ifPresent(line -> {
            statusLine = AnswerSyntax.statusLine(line);
            headers = newHeaders();
            startFields(State.HEADERS);
        });
        return Optional.empty();
    }

    private Optional<AnswerPart> readHeader(ByteBuf bytes) {
        Optional<String> line = lines.read(bytes, MAX_FIELDS_BYTES - fieldBytes);
        if (line.isEmpty()) {
            return Optional.empty();
        }
        if (!line.get().isEmpty()) {
            AnswerSyntax.Field field = field(line.get());
            headers.add(field.name(), field.value());
            return Optional.empty();
        }
        AnswerHead head = new AnswerHead(statusLine.minorVersion(), statusLine.status(), headers);
        startFields(State.END);
        requireSingleFields();
        startBody(head);
        return Optional.of(new AnswerPart.Head(head));
    }

    private void startFields(State next) {
        state = next;
        fields = 0;
        fieldBytes = 0;
    }

    private AnswerSyntax.Field field(String line) {
        fields++;
        fieldBytes += line.length();
        if (fields > MAX_FIELDS) {
            throw new InvalidAnswerException("more than " + MAX_FIELDS + " header fields");
        }
        return AnswerSyntax.field(line);
    }

    private void requireSingleFields() {
        for (String name : singleFields) {
            if (headers.getAll(name).size() > 1) {
                throw new InvalidAnswerException("more than one field " + name);
            }
        }
    }

    /** Decides how the body ends (RFC 9112, 6.3). */
    private void startBody(AnswerHead head) {
        if (head.status() == SWITCHING_PROTOCOLS) {
            throw new InvalidAnswerException("another protocol, which was not requested");
        }
        List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (!isBodyExpected || head.hasNoBody()) {
            return;
        }
        if (!codings.isEmpty()) {
            requireChunked(codings, !lengths.isEmpty());
            state = State.CHUNK_SIZE;
        } else if (lengths.isEmpty()) {
            state = State.BODY_UNTIL_CLOSE;
        } else {
            remainingBytes = length(lengths);
            state = remainingBytes == 0 ? State.END : State.BODY;
        }
    }

    private static void requireChunked(List<String> codings, boolean hasLength) {
        boolean isChunked = codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0));
        if (!isChunked || hasLength) {
            throw new InvalidAnswerException("a body with an unknown transfer coding, or with two framings");
        }
    }

    private static long length(List<String> lengths) {
        String length = lengths.get(0);
        boolean isNumber = !length.isEmpty()
                && length.length() <= MAX_DIGITS
                && length.chars().allMatch(digit -> digit >= '0' && digit <= '9');
        if (lengths.size() > 1 || !isNumber) {
            throw new InvalidAnswerException("a length that is not one number");
        }
        return Long.parseLong(length);
    }

    private Optional<AnswerPart> readBody(ByteBuf bytes) {
        Optional<AnswerPart> part = content(bytes, remainingBytes);
        state = remainingBytes == 0 ? State.END : State.BODY;
        return part;
    }

    private Optional<AnswerPart> readChunkSize(ByteBuf bytes) {
        lines.read(bytes, MAX_CHUNK_LINE_BYTES).ifPresent(line -> {
            remainingBytes = chunkSize(line);
            if (remainingBytes > 0) {
                state = State.CHUNK;
            } else {
                startFields(State.TRAILERS);
            }
        });
        return Optional.empty();
    }

    private static long chunkSize(String line) {
        int end = 0;
        while (end < line.length() && Character.digit(line.charAt(end), 16) >= 0) {
            end++;
        }
        String rest = line.substring(end).strip();
        if (end == 0 || end > MAX_DIGITS || !(rest.isEmpty() || rest.startsWith(";"))) {
            throw new InvalidAnswerException("a chunk without a size");
        }
        return Long.parseLong(line.substring(0, end), 16);
    }

    private Optional<AnswerPart> readChunk(ByteBuf bytes) {
        Optional<AnswerPart> part = content(bytes, remainingBytes);
        state = remainingBytes == 0 ? State.CHUNK_END : State.CHUNK;
        return part;
    }

    private Optional<AnswerPart> readChunkEnd(ByteBuf bytes) {
        lines.read(bytes, 0).ifPresent(line -> state = State.CHUNK_SIZE);
        return Optional.empty();
    }

    /** Reads a trailer field; those of answers have no meaning here. */
    private Optional<AnswerPart> readTrailer(ByteBuf bytes) {
        lines.read(bytes, MAX_FIELDS_BYTES - fieldBytes).ifPresent(line -> {
            if (line.isEmpty()) {
                startFields(State.END);
            } else {
                AnswerSyntax.Field ignored = field(line);
            }
        });
        return Optional.empty();
    }

    private Optional<AnswerPart> content(ByteBuf bytes, long maxBytes) {
        int length = (int) Math.min(maxBytes, bytes.readableBytes());
        remainingBytes -= length;
        return Optional.of(new AnswerPart.Content(bytes.readSlice(length)));
    }

    private Optional<AnswerPart> endOfAnswer() {
        state = State.STATUS_LINE;
        return Optional.of(new AnswerPart.End());
    }

    private static HttpHeaders newHeaders() {
        return DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
    }
}
