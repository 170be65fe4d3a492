package io.coppershelf.caller.internal;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coppershelf.backend.BackendRequest.Header;
import io.coppershelf.backend.BackendResult.Answer;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.outcome.Outcome;
import io.coppershelf.routing.RequestResult;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * An answer to a caller: the status, all headers except {@code Content-Length}, and the complete body.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the complete body
 */
record CallerAnswer(int status, List<Header> headers, byte[] body) {
    private static final Duration SECOND = Duration.ofSeconds(1);

    /** Returns the answer to a served request. */
    static CallerAnswer of(String requestId, RequestResult result) {
        if (result.answer().isPresent()) {
            return served(requestId, result.answer().get());
        }
        ErrorKind error = result.error().orElse(ErrorKind.INTERNAL);
        return failed(requestId, error, message(error), result.retryAfter());
    }

    private static CallerAnswer served(String requestId, Answer answer) {
        List<Header> headers = new ArrayList<>(answer.headers());
        headers.add(new Header(CallerHeaders.OUTCOME, Outcome.RUN.headerValue()));
        headers.add(new Header(CallerHeaders.REQUEST_ID, requestId));
        return new CallerAnswer(answer.status(), headers, answer.body());
    }

    /** Returns the answer to a request that failed. */
    static CallerAnswer failed(String requestId, ErrorKind error, String message, Optional<Duration> retryAfter) {
        List<Header> headers = new ArrayList<>();
        headers.add(new Header("Content-Type", "application/json"));
        headers.add(new Header(CallerHeaders.OUTCOME, error.outcome().headerValue()));
        headers.add(new Header(CallerHeaders.REQUEST_ID, requestId));
        headers.add(new Header(CallerHeaders.ERROR, error.code()));
        retryAfter.ifPresent(delay -> headers.add(new Header(CallerHeaders.RETRY_AFTER, wholeSeconds(delay))));
        return new CallerAnswer(error.status(), headers, json(requestId, error, message));
    }

    private static String wholeSeconds(Duration delay) {
        long rounded = delay.plus(SECOND).minusNanos(1).toSeconds();
        return Long.toString(Math.max(1, rounded));
    }

    private static byte[] json(String requestId, ErrorKind error, String message) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("error", error.code());
        node.put("outcome", error.outcome().headerValue());
        node.put("message", message);
        node.put("requestId", requestId);
        return (node + "\n").getBytes(StandardCharsets.UTF_8);
    }

    private static String message(ErrorKind error) {
        return switch (error.outcome()) {
            case NOT_RUN -> "The request was not run.";
            case RUN -> "The request was run, but there is no whole answer to hand out.";
            case UNKNOWN -> "The request may or may not have been run.";
        };
    }
}
