package io.coppershelf.backend;

import io.coppershelf.outcome.ErrorKind;
import java.util.List;
import java.util.Optional;

/**
 * The result of one attempt.
 *
 * @param answer the complete answer, empty if there is none
 * @param error why there is no answer, empty if there is one; its outcome is {@code NOT_RUN} only if it is proven that
 *     the server did not run the request
 * @param serverState the state that the server reported in this answer
 */
public record BackendResult(Optional<Answer> answer, Optional<ErrorKind> error, ServerState serverState) {
    /** Returns the result of an attempt that was answered. */
    public static BackendResult answered(Answer answer, ServerState serverState) {
        return new BackendResult(Optional.of(answer), Optional.empty(), serverState);
    }

    /** Returns the result of an attempt that failed. */
    public static BackendResult failed(ErrorKind error, ServerState serverState) {
        return new BackendResult(Optional.empty(), Optional.of(error), serverState);
    }

    /**
     * A complete answer.
     *
     * @param status the HTTP status
     * @param headers the server's headers to forward
     * @param body the complete body
     */
    public record Answer(int status, List<BackendRequest.Header> headers, byte[] body) {}

    /** The state that a server reports about itself. */
    public enum ServerState {
        UNSTATED,
        READY,
        COLD,
        DRAINING,
        SHEDDING
    }
}
