package io.coppershelf.admission;

import io.coppershelf.backend.BackendResult;
import io.coppershelf.backend.BackendResult.Answer;
import io.coppershelf.outcome.ErrorKind;
import java.time.Duration;
import java.util.Optional;

/**
 * How a try ended at the owner of its group.
 *
 * @param answer the whole answer, empty if there is an error
 * @param error why there is no answer; its outcome is {@code NOT_RUN} only with proof
 * @param retryAfter when to come back, if the owner knows
 * @param load the load of the group after the try, empty if the owner did not say
 */
public record AttemptResult(
        Optional<Answer> answer, Optional<ErrorKind> error, Optional<Duration> retryAfter, Optional<GroupLoad> load) {
    /** Returns the result of a try that failed. */
    public static AttemptResult failed(ErrorKind error) {
        return new AttemptResult(Optional.empty(), Optional.of(error), Optional.empty(), Optional.empty());
    }

    /** Returns the result of a try that was refused, with a time to come back. */
    public static AttemptResult refused(ErrorKind error, Duration retryAfter) {
        return new AttemptResult(Optional.empty(), Optional.of(error), Optional.of(retryAfter), Optional.empty());
    }

    /** Returns what a backend server made of the try. */
    public static AttemptResult of(BackendResult result) {
        return new AttemptResult(result.answer(), result.error(), Optional.empty(), Optional.empty());
    }

    /** Returns the result with the load of the group. */
    public AttemptResult withLoad(GroupLoad newLoad) {
        return new AttemptResult(answer, error, retryAfter, Optional.of(newLoad));
    }

    /**
     * The load of a server group, as its owner sees it.
     *
     * @param freeSlots the slots that could take work
     * @param expectedWaitNanos the expected wait of a new request of the least weight
     */
    public record GroupLoad(int freeSlots, long expectedWaitNanos) {}
}
