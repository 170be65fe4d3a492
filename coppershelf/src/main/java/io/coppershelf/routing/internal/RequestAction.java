package io.coppershelf.routing.internal;

import io.coppershelf.admission.GroupName;
import io.coppershelf.backend.BackendResult.Answer;
import io.coppershelf.outcome.Outcome;
import io.coppershelf.routing.RequestResult;
import java.util.Optional;

/** What a request wants done. */
public sealed interface RequestAction {
    /**
     * Send a try.
     *
     * @param number the number of the try within the request
     * @param group the server group
     * @param candidate the place of the owner among the candidates of the group, from 0
     * @param hedge whether it is a second, parallel try
     */
    record SendAttempt(int number, GroupName group, int candidate, boolean hedge) implements RequestAction {}

    /** Give a try up. */
    record CancelAttempt(int number) implements RequestAction {}

    /** Answer the caller; happens once. */
    record AnswerCaller(RequestResult result) implements RequestAction {}

    /** All that can be known about the execution is known; happens once, also after the caller was answered. */
    record RecordOutcome(Outcome outcome, Optional<Answer> answer) implements RequestAction {}
}
