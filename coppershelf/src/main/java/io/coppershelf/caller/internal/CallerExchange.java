package io.coppershelf.caller.internal;

import com.google.common.flogger.FluentLogger;
import com.sun.net.httpserver.HttpExchange;
import io.coppershelf.backend.BackendRequest.Header;
import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.atomic.AtomicBoolean;

/** An exchange with a caller; it is answered once, with a complete answer. */
final class CallerExchange {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int NO_BODY = -1;

    private final HttpExchange exchange;
    private final String requestId;
    private final Runnable onEnd;
    private final AtomicBoolean isAnswered = new AtomicBoolean();

    CallerExchange(HttpExchange exchange, String requestId, Runnable onEnd) {
        this.exchange = exchange;
        this.requestId = requestId;
        this.onEnd = onEnd;
    }

    HttpExchange exchange() {
        return exchange;
    }

    String requestId() {
        return requestId;
    }

    /** Returns whether an answer has been sent or is being sent. */
    boolean isAnswered() {
        return isAnswered.get();
    }

    /** Writes the answer and keeps the connection open. */
    void answer(CallerAnswer answer) {
        answer(answer, false);
    }

    /** Writes the answer and closes the connection, since the request was not read completely. */
    void answerAndClose(CallerAnswer answer) {
        answer(answer, true);
    }

    /** Closes the connection of a caller that does not read its answer; the rest of the answer is not sent. */
    void abort() {
        logger.atFine().log("[caller] The caller does not read the answer to %s.", requestId);
        exchange.close();
    }

    private void answer(CallerAnswer answer, boolean close) {
        if (!isAnswered.compareAndSet(false, true)) {
            return;
        }
        try {
            write(answer, close);
        } catch (IOException | RuntimeException e) {
            logger.atFine().withCause(e).log("[caller] The answer to %s could not be written.", requestId);
        } finally {
            exchange.close();
            onEnd.run();
        }
    }

    private void write(CallerAnswer answer, boolean close) throws IOException {
        for (Header header : answer.headers()) {
            exchange.getResponseHeaders().add(header.name(), header.value());
        }
        if (close) {
            exchange.getResponseHeaders().set("Connection", "close");
        }
        byte[] body = answer.body();
        if (body.length == 0 || hasNoBody(answer.status())) {
            exchange.sendResponseHeaders(answer.status(), NO_BODY);
            return;
        }
        exchange.sendResponseHeaders(answer.status(), body.length);
        OutputStream out = exchange.getResponseBody();
        out.write(body);
        out.flush();
    }

    private boolean hasNoBody(int status) {
        return status == 204 || status == 304 || exchange.getRequestMethod().equals("HEAD");
    }
}
