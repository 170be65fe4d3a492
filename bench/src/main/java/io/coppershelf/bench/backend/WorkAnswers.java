package io.coppershelf.bench.backend;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import io.coppershelf.bench.load.ExpectedAnswer;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Sends the answers of backend servers, altered by an injected fault if there is one. */
final class WorkAnswers {
    private static final int OVERSIZE_BYTES = 8 << 20;

    /** Answers that a request was not started. */
    void reject(Work work, int status, String state) {
        Headers headers = work.exchange().getResponseHeaders();
        headers.set(BackendHeaders.EXECUTION, "not-started");
        headers.set(BackendHeaders.SERVER_STATE, state);
        headers.set(BackendHeaders.ATTEMPT_ID, work.attemptId());
        sendIgnoringDisconnect(work.exchange(), status, new byte[0], 0);
    }

    /** Answers a request that was run. */
    void answer(Work work, Optional<ActiveFault> fault, String state) {
        HttpExchange exchange = work.exchange();
        Optional<ServerFault> kind = fault.map(ActiveFault::fault);
        if (kind.equals(Optional.of(ServerFault.DIE_AFTER_RUN))
                || fault.map(active -> active.dropsAnswerTo(work.attemptId())).orElse(false)) {
            exchange.close();
            return;
        }
        exchange.getResponseHeaders().set(BackendHeaders.SERVER_STATE, state);
        exchange.getResponseHeaders()
                .set(
                        BackendHeaders.ATTEMPT_ID,
                        kind.equals(Optional.of(ServerFault.FOREIGN)) ? "foreign" : work.attemptId());
        String path = exchange.getRequestURI().getPath();
        boolean failing = fault.map(active -> active.isFailing(path)).orElse(false);
        byte[] body = kind.equals(Optional.of(ServerFault.OVERSIZE)) ? new byte[OVERSIZE_BYTES] : body(work);
        int sentBytes = kind.equals(Optional.of(ServerFault.TRUNCATE)) ? body.length / 2 : body.length;
        sendIgnoringDisconnect(exchange, failing ? 500 : 200, body, sentBytes);
    }

    /** Sends a short text. */
    void sendText(HttpExchange exchange, int status, String text) throws IOException {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        send(exchange, status, body, body.length);
    }

    private static byte[] body(Work work) {
        String length = work.header(BackendHeaders.ANSWER_BYTES);
        return ExpectedAnswer.of(work.header(BackendHeaders.WORK_ID), length.isEmpty() ? 0 : Integer.parseInt(length));
    }

    private static void sendIgnoringDisconnect(HttpExchange exchange, int status, byte[] body, int sentBytes) {
        try {
            send(exchange, status, body, sentBytes);
        } catch (IOException e) {
            // The fleet closed the connection, for instance because it cancelled the request.
            exchange.close();
        }
    }

    private static void send(HttpExchange exchange, int status, byte[] body, int sentBytes) throws IOException {
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            OutputStream out = exchange.getResponseBody();
            out.write(body, 0, sentBytes);
            out.flush();
        }
        exchange.close();
    }
}
