package io.coppershelf.backend;

import io.coppershelf.outcome.ErrorKind;
import java.util.List;
import java.util.Optional;

/**
 * How one try ended.
 *
 * @param answer the whole answer, empty if there is none
 * @param error why there is no answer, empty if there is one; its outcome is {@code NOT_RUN} only with proof
 * @param serverState what the server said of itself with this answer
 */
public record BackendResult(Optional<Answer> answer, Optional<ErrorKind> error, ServerState serverState) {
    /** Returns the result of a try that was answered. */
    public static BackendResult answered(Answer answer, ServerState serverState) {
        return new BackendResult(Optional.of(answer), Optional.empty(), serverState);
    }

    /** Returns the result of a try that failed. */
    public static BackendResult failed(ErrorKind error, ServerState serverState) {
        return new BackendResult(Optional.empty(), Optional.of(error), serverState);
    }

    /**
     * A whole answer.
     *
     * @param status the HTTP status
     * @param headers the server's headers that go on
     * @param body the whole body
     */
    public record Answer(int status, List<BackendRequest.Header> headers, byte[] body) {}

    /** What a server says of itself. */
    public enum ServerState {
        UNSTATED,
        READY,
        COLD,
        DRAINING,
        SHEDDING
    }
}
