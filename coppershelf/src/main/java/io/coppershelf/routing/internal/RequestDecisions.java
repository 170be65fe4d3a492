package io.coppershelf.routing.internal;

import io.coppershelf.admission.AttemptResult;
import io.coppershelf.admission.GroupName;
import io.coppershelf.backend.BackendResult.Answer;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.outcome.Outcome;
import io.coppershelf.routing.RequestResult;
import io.coppershelf.routing.internal.RequestAction.AnswerCaller;
import io.coppershelf.routing.internal.RequestAction.CancelAttempt;
import io.coppershelf.routing.internal.RequestAction.RecordOutcome;
import io.coppershelf.routing.internal.RequestAction.SendAttempt;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * The decisions on the attempts of one request: a state machine that maps events to actions.
 *
 * <p>A non-idempotent request has at most one attempt in flight, and is retried only if the result of the previous
 * attempt proves that it did not run. The caller receives {@code not run} only if that is proved for every attempt. Not
 * thread-safe.
 */
public final class RequestDecisions {
    private static final int MAX_ATTEMPTS = 3;
    /** Includes attempts that are sent on to another owner because the previous one was unavailable. */
    private static final int MAX_SENDS = 9;

    private final boolean isIdempotent;
    private final AttemptPolicy policy;
    private final Map<Integer, SendAttempt> inFlight = new TreeMap<>();
    private final Set<GroupName> excluded = new HashSet<>();
    private int sends;
    private int retries;
    private boolean isStarted;
    private boolean isCutOff;
    private boolean isAnswered;
    private boolean isOutcomeRecorded;
    private Optional<ErrorKind> unknownOutcomeError = Optional.empty();
    private Optional<AttemptResult> refusal = Optional.empty();

    /** Creates the decisions of a request that was not started yet. */
    public RequestDecisions(boolean isIdempotent, AttemptPolicy policy) {
        this.isIdempotent = isIdempotent;
        this.policy = policy;
    }

    /** Handles one event and returns the actions to perform, in order. */
    public List<RequestAction> on(RequestEvent event) {
        List<RequestAction> actions = new ArrayList<>();
        if (event instanceof RequestEvent.Started) {
            start(actions);
        } else if (event instanceof RequestEvent.AttemptEnded attemptEnded) {
            end(attemptEnded, actions);
        } else if (event instanceof RequestEvent.HedgeDue) {
            hedge(actions);
        } else if (event instanceof RequestEvent.SendCutoffReached) {
            cutOff(actions);
        } else if (event instanceof RequestEvent.DeadlinePassed) {
            passDeadline(actions);
        }
        return actions;
    }

    private void start(List<RequestAction> actions) {
        isStarted = true;
        if (isCutOff) {
            finish(actions);
            return;
        }
        Optional<GroupName> group = policy.selectGroup(excluded);
        if (group.isEmpty()) {
            refusal = Optional.of(AttemptResult.failed(ErrorKind.NO_SERVER));
            finish(actions);
            return;
        }
        send(group.get(), 0, false, actions);
    }

    private void send(GroupName group, int candidate, boolean hedge, List<RequestAction> actions) {
        sends++;
        SendAttempt action = new SendAttempt(sends, group, candidate, hedge);
        inFlight.put(sends, action);
        actions.add(action);
    }

    private void end(RequestEvent.AttemptEnded attemptEnded, List<RequestAction> actions) {
        SendAttempt ended = inFlight.remove(attemptEnded.number());
        if (ended == null) {
            return;
        }
        if (attemptEnded.result().answer().isPresent()) {
            succeed(attemptEnded.result().answer().get(), actions);
            return;
        }
        ErrorKind error = attemptEnded.result().error().orElse(ErrorKind.INTERNAL);
        recordFailure(error, attemptEnded.result());
        if (!inFlight.isEmpty()) {
            return;
        }
        if (isAnswered || isCutOff || !sendNext(ended, error, actions)) {
            finish(actions);
        }
    }

    private void succeed(Answer answer, List<RequestAction> actions) {
        answerCaller(RequestResult.answered(answer), actions);
        inFlight.keySet().forEach(number -> actions.add(new CancelAttempt(number)));
        recordOutcome(Outcome.RUN, Optional.of(answer), actions);
    }

    private void recordFailure(ErrorKind error, AttemptResult result) {
        if (error.outcome() == Outcome.NOT_RUN) {
            refusal = Optional.of(result);
            return;
        }
        unknownOutcomeError = Optional.of(error);
    }

    /** Sends a further attempt if that is safe and useful; returns whether it did. */
    private boolean sendNext(SendAttempt ended, ErrorKind error, List<RequestAction> actions) {
        if (sends >= MAX_SENDS) {
            return false;
        }
        if (isOwnerUnavailable(error)) {
            return sendToOtherOwner(ended, actions);
        }
        if (!isRetryable(error) || retries + 1 >= MAX_ATTEMPTS) {
            return false;
        }
        return retry(ended, error, actions);
    }

    /**
     * Returns whether the owner itself, not a backend server, refused the attempt, so that another owner can serve it.
     */
    private static boolean isOwnerUnavailable(ErrorKind error) {
        return error == ErrorKind.OWNER_UNREACHABLE || error == ErrorKind.STOPPING || error == ErrorKind.STARTING;
    }

    private boolean isRetryable(ErrorKind error) {
        return switch (error) {
            case OVERLOADED, NO_SERVER, SERVER_REFUSED -> true;
            case SERVER_LOST, ANSWER_TRUNCATED, ANSWER_FOREIGN, OWNER_LOST, DEADLINE_PASSED -> isIdempotent;
            default -> false;
        };
    }

    private boolean sendToOtherOwner(SendAttempt ended, List<RequestAction> actions) {
        int next = ended.candidate() + 1;
        if (next < policy.ownerCount(ended.group())) {
            send(ended.group(), next, ended.hedge(), actions);
            return true;
        }
        excluded.add(ended.group());
        Optional<GroupName> other = policy.selectGroup(excluded);
        other.ifPresent(group -> send(group, 0, ended.hedge(), actions));
        return other.isPresent();
    }

    private boolean retry(SendAttempt ended, ErrorKind error, List<RequestAction> actions) {
        excluded.add(ended.group());
        Optional<GroupName> other = policy.selectGroup(excluded);
        boolean isSameGroupUseful = error != ErrorKind.OVERLOADED;
        if ((other.isEmpty() && !isSameGroupUseful) || !policy.spendRetry()) {
            return false;
        }
        retries++;
        if (other.isPresent()) {
            send(other.get(), 0, false, actions);
            return true;
        }
        int next = error == ErrorKind.OWNER_LOST ? ended.candidate() + 1 : ended.candidate();
        send(ended.group(), next % Math.max(1, policy.ownerCount(ended.group())), false, actions);
        return true;
    }

    private void hedge(List<RequestAction> actions) {
        if (!isIdempotent || isAnswered || isCutOff || inFlight.size() != 1 || retries + 1 >= MAX_ATTEMPTS) {
            return;
        }
        SendAttempt first = inFlight.values().iterator().next();
        Set<GroupName> excludedForHedge = new HashSet<>(excluded);
        excludedForHedge.add(first.group());
        if (!policy.spendRetry()) {
            return;
        }
        retries++;
        send(policy.selectGroup(excludedForHedge).orElse(first.group()), 0, true, actions);
    }

    private void cutOff(List<RequestAction> actions) {
        isCutOff = true;
        inFlight.keySet().forEach(number -> actions.add(new CancelAttempt(number)));
    }

    private void passDeadline(List<RequestAction> actions) {
        isCutOff = true;
        ErrorKind error = unknownOutcomeError.orElse(
                inFlight.isEmpty() ? ErrorKind.DEADLINE_BEFORE_RUN : ErrorKind.DEADLINE_PASSED);
        answerCaller(RequestResult.failed(error), actions);
    }

    private void finish(List<RequestAction> actions) {
        ErrorKind refused = isCutOff
                ? ErrorKind.DEADLINE_BEFORE_RUN
                : refusal.flatMap(AttemptResult::error).orElse(ErrorKind.INTERNAL);
        ErrorKind error = unknownOutcomeError.orElse(refused);
        answerCaller(result(error), actions);
        recordOutcome(error.outcome(), Optional.empty(), actions);
    }

    private RequestResult result(ErrorKind error) {
        return refusal.filter(result -> result.error().equals(Optional.of(error)))
                .flatMap(AttemptResult::retryAfter)
                .filter(delay -> error.retryAfter().isPresent())
                .map(delay -> RequestResult.failed(error, delay))
                .orElseGet(() -> RequestResult.failed(error));
    }

    private void answerCaller(RequestResult result, List<RequestAction> actions) {
        if (isAnswered) {
            return;
        }
        isAnswered = true;
        actions.add(new AnswerCaller(result));
    }

    private void recordOutcome(Outcome outcome, Optional<Answer> answer, List<RequestAction> actions) {
        if (isOutcomeRecorded || !isStarted) {
            return;
        }
        isOutcomeRecorded = true;
        actions.add(new RecordOutcome(outcome, answer));
    }
}
