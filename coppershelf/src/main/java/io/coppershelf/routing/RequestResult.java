package io.coppershelf.routing;

import io.coppershelf.backend.BackendResult.Answer;
import io.coppershelf.outcome.ErrorKind;
import java.time.Duration;
import java.util.Optional;

/**
 * The result of a request for its caller: a server's complete answer, or an error kind.
 *
 * @param answer the answer, empty if there is an error
 * @param error the error kind, empty if there is an answer
 * @param retryAfter the time after which to retry, empty if a retry is not advised
 */
public record RequestResult(Optional<Answer> answer, Optional<ErrorKind> error, Optional<Duration> retryAfter) {
    /** Returns the result of a request that was answered. */
    public static RequestResult answered(Answer answer) {
        return new RequestResult(Optional.of(answer), Optional.empty(), Optional.empty());
    }

    /** Returns the result of a request that failed, with the default retry time of the error kind. */
    public static RequestResult failed(ErrorKind error) {
        return new RequestResult(Optional.empty(), Optional.of(error), error.retryAfter());
    }

    /** Returns the result of a request that failed, with the given retry time. */
    public static RequestResult failed(ErrorKind error, Duration retryAfter) {
        return new RequestResult(Optional.empty(), Optional.of(error), Optional.of(retryAfter));
    }
}
