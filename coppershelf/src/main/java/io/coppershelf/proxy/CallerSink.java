package io.coppershelf.proxy;

import io.coppershelf.http.HttpAnswer;
import io.coppershelf.outcome.ErrorKind;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.function.IntSupplier;

/** Composes the answer to one request of a caller, or of another VM that handed the request on. */
final class CallerSink implements AnswerSink {
    /** The header with the code of the error. */
    static final String ERROR = "Coppershelf-Error";

    private static final double MILLIS_PER_SECOND = 1000;

    /** Writes an answer to the connection. */
    interface Writer {
        /** Writes the answer. */
        void write(CallerRequest request, int status, HttpHeaders headers, byte[] body);
    }

    private final HeaderNames names;
    private final CallerRequest request;
    private final IntSupplier serversReached;
    private final Writer writer;

    /**
     * Creates a sink.
     *
     * @param serversReached returns the number of servers that the request was sent to
     */
    CallerSink(HeaderNames names, CallerRequest request, IntSupplier serversReached, Writer writer) {
        this.names = names;
        this.request = request;
        this.serversReached = serversReached;
        this.writer = writer;
    }

    @Override
    public void deliver(HttpAnswer answer) {
        HttpHeaders headers = EndToEndHeaders.copy(answer.headers());
        RelayHeaders.remove(headers);
        write(answer.status(), headers, answer.body(), RelayHeaders.Result.SERVER_ANSWER);
    }

    @Override
    public void fail(ErrorKind kind, String reason, Optional<Duration> retryAfter) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
        headers.set(ERROR, kind.code());
        headers.set("Coppershelf-Outcome", kind.outcome().name().toLowerCase(Locale.ROOT));
        String id = request.headers().get(names.requestId());
        if (id != null) {
            headers.set(names.requestId(), id);
        }
        retryAfter.ifPresent(delay ->
                headers.set(HttpHeaderNames.RETRY_AFTER, Double.toString(delay.toMillis() / MILLIS_PER_SECOND)));
        byte[] body = (reason + "\n").getBytes(StandardCharsets.UTF_8);
        write(kind.status(), headers, body, RelayHeaders.Result.of(kind.outcome()));
    }

    private void write(int status, HttpHeaders headers, byte[] body, RelayHeaders.Result result) {
        if (request.relay().isPresent()) {
            headers.set(RelayHeaders.RESULT, result.name());
            headers.set(RelayHeaders.SERVERS, Integer.toString(serversReached.getAsInt()));
        }
        writer.write(request, status, headers, body);
    }
}
