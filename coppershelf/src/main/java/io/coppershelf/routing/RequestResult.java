package io.coppershelf.routing;

import io.coppershelf.backend.BackendResult.Answer;
import io.coppershelf.outcome.ErrorKind;
import java.time.Duration;
import java.util.Optional;

/**
 * What a caller is told: a server's whole answer, or an error kind.
 *
 * @param answer the answer, empty if there is an error
 * @param error the error kind, empty if there is an answer
 * @param retryAfter when to come back, if that is better known than the default of the kind
 */
public record RequestResult(Optional<Answer> answer, Optional<ErrorKind> error, Optional<Duration> retryAfter) {
    /** Returns the result of a request that was answered. */
    public static RequestResult answered(Answer answer) {
        return new RequestResult(Optional.of(answer), Optional.empty(), Optional.empty());
    }

    /** Returns the result of a request that failed, with the default time to come back. */
    public static RequestResult failed(ErrorKind error) {
        return new RequestResult(Optional.empty(), Optional.of(error), error.retryAfter());
    }

    /** Returns the result of a request that failed, with a time to come back. */
    public static RequestResult failed(ErrorKind error, Duration retryAfter) {
        return new RequestResult(Optional.empty(), Optional.of(error), Optional.of(retryAfter));
    }
}
