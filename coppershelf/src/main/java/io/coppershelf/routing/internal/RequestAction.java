package io.coppershelf.routing.internal;

import io.coppershelf.admission.GroupName;
import io.coppershelf.backend.BackendResult.Answer;
import io.coppershelf.outcome.Outcome;
import io.coppershelf.routing.RequestResult;
import java.util.Optional;

/** An action that the decisions of a request return. */
public sealed interface RequestAction {
    /**
     * Sends an attempt.
     *
     * @param number the number of the attempt within the request
     * @param group the server group
     * @param candidate the index of the owner among the candidates of the group
     * @param hedge whether it is a hedge
     */
    record SendAttempt(int number, GroupName group, int candidate, boolean hedge) implements RequestAction {}

    /** Cancels an attempt. */
    record CancelAttempt(int number) implements RequestAction {}

    /** Answers the caller; returned at most once for each request. */
    record AnswerCaller(RequestResult result) implements RequestAction {}

    /**
     * Records the final outcome of the request; returned once for each started request, possibly after the caller was
     * answered.
     */
    record RecordOutcome(Outcome outcome, Optional<Answer> answer) implements RequestAction {}
}
