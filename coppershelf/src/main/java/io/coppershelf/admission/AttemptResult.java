package io.coppershelf.admission;

import io.coppershelf.backend.BackendResult;
import io.coppershelf.backend.BackendResult.Answer;
import io.coppershelf.outcome.ErrorKind;
import java.time.Duration;
import java.util.Optional;

/**
 * The result of an attempt at the owner of its group.
 *
 * @param answer the complete answer, empty if there is an error
 * @param error why there is no answer; its outcome is {@code NOT_RUN} only with proof
 * @param retryAfter when to retry, if the owner provided it
 * @param load the load of the group after the attempt, empty if the owner did not provide it
 */
public record AttemptResult(
        Optional<Answer> answer, Optional<ErrorKind> error, Optional<Duration> retryAfter, Optional<GroupLoad> load) {
    /** Returns the result of an attempt that failed. */
    public static AttemptResult failed(ErrorKind error) {
        return new AttemptResult(Optional.empty(), Optional.of(error), Optional.empty(), Optional.empty());
    }

    /** Returns the result of an attempt that was refused, with the time after which to retry. */
    public static AttemptResult refused(ErrorKind error, Duration retryAfter) {
        return new AttemptResult(Optional.empty(), Optional.of(error), Optional.of(retryAfter), Optional.empty());
    }

    /** Returns the result of an attempt that a backend server ended. */
    public static AttemptResult of(BackendResult result) {
        return new AttemptResult(result.answer(), result.error(), Optional.empty(), Optional.empty());
    }

    /** Returns the result with the load of the group. */
    public AttemptResult withLoad(GroupLoad newLoad) {
        return new AttemptResult(answer, error, retryAfter, Optional.of(newLoad));
    }

    /**
     * The load of a server group, as its owner reports it.
     *
     * @param freeSlots the slots that can accept an attempt
     * @param expectedWaitNanos the expected wait of a new request of the lowest weight
     */
    public record GroupLoad(int freeSlots, long expectedWaitNanos) {}
}
