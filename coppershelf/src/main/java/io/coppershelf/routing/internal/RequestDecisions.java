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
 * The decisions on the tries of one request: events in, actions out.
 *
 * <p>A non-idempotent request has at most one try under way, and gets a further one only after the result of the one
 * before proves that it did not run. The caller is told {@code not run} only if that is proved of every try. Not safe
 * for use by several threads.
 */
public final class RequestDecisions {
    private static final int MOST_TRIES = 3;
    private static final int MOST_HOPS = 9;

    private final boolean isIdempotent;
    private final AttemptPolicy policy;
    private final Map<Integer, SendAttempt> open = new TreeMap<>();
    private final Set<GroupName> excluded = new HashSet<>();
    private int hops;
    private int tries;
    private boolean isStarted;
    private boolean isGivenUp;
    private boolean isAnswered;
    private boolean isSettled;
    private Optional<ErrorKind> uncertain = Optional.empty();
    private Optional<AttemptResult> refusal = Optional.empty();

    /** Returns the decisions of a request that was not started yet. */
    public RequestDecisions(boolean isIdempotent, AttemptPolicy policy) {
        this.isIdempotent = isIdempotent;
        this.policy = policy;
    }

    /** Takes in one event and returns what is to be done, in order. */
    public List<RequestAction> on(RequestEvent event) {
        List<RequestAction> actions = new ArrayList<>();
        if (event instanceof RequestEvent.Started) {
            start(actions);
        } else if (event instanceof RequestEvent.AttemptEnded ended) {
            end(ended, actions);
        } else if (event instanceof RequestEvent.HedgeDue) {
            hedge(actions);
        } else if (event instanceof RequestEvent.SendCutoffReached) {
            giveUp(actions);
        } else if (event instanceof RequestEvent.DeadlinePassed) {
            passDeadline(actions);
        }
        return actions;
    }

    private void start(List<RequestAction> actions) {
        isStarted = true;
        if (isGivenUp) {
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
        hops++;
        SendAttempt action = new SendAttempt(hops, group, candidate, hedge);
        open.put(hops, action);
        actions.add(action);
    }

    private void end(RequestEvent.AttemptEnded ended, List<RequestAction> actions) {
        SendAttempt done = open.remove(ended.number());
        if (done == null) {
            return;
        }
        if (ended.result().answer().isPresent()) {
            succeed(ended.result().answer().get(), actions);
            return;
        }
        ErrorKind error = ended.result().error().orElse(ErrorKind.INTERNAL);
        remember(error, ended.result());
        if (!open.isEmpty()) {
            return;
        }
        if (isAnswered || isGivenUp || !sendNext(done, error, actions)) {
            finish(actions);
        }
    }

    private void succeed(Answer answer, List<RequestAction> actions) {
        answerCaller(RequestResult.answered(answer), actions);
        open.keySet().forEach(number -> actions.add(new CancelAttempt(number)));
        settle(Outcome.RUN, Optional.of(answer), actions);
    }

    private void remember(ErrorKind error, AttemptResult result) {
        if (error.outcome() == Outcome.NOT_RUN) {
            refusal = Optional.of(result);
            return;
        }
        uncertain = Optional.of(error);
    }

    /** Sends a further try where that is safe and sensible; returns whether it did. */
    private boolean sendNext(SendAttempt done, ErrorKind error, List<RequestAction> actions) {
        if (hops >= MOST_HOPS) {
            return false;
        }
        if (isOwnerAway(error)) {
            return sendToOtherOwner(done, actions);
        }
        if (!isRetryable(error) || tries + 1 >= MOST_TRIES) {
            return false;
        }
        return retry(done, error, actions);
    }

    /** Returns whether the owner, and no backend server, refused the try. */
    private static boolean isOwnerAway(ErrorKind error) {
        return error == ErrorKind.OWNER_UNREACHABLE || error == ErrorKind.STOPPING || error == ErrorKind.STARTING;
    }

    private boolean isRetryable(ErrorKind error) {
        return switch (error) {
            case OVERLOADED, NO_SERVER, SERVER_REFUSED -> true;
            case SERVER_LOST, ANSWER_TRUNCATED, ANSWER_FOREIGN, OWNER_LOST, DEADLINE_PASSED -> isIdempotent;
            default -> false;
        };
    }

    private boolean sendToOtherOwner(SendAttempt done, List<RequestAction> actions) {
        int next = done.candidate() + 1;
        if (next < policy.ownerCount(done.group())) {
            send(done.group(), next, done.hedge(), actions);
            return true;
        }
        excluded.add(done.group());
        Optional<GroupName> other = policy.selectGroup(excluded);
        other.ifPresent(group -> send(group, 0, done.hedge(), actions));
        return other.isPresent();
    }

    private boolean retry(SendAttempt done, ErrorKind error, List<RequestAction> actions) {
        excluded.add(done.group());
        Optional<GroupName> other = policy.selectGroup(excluded);
        boolean isSameGroupUseful = error != ErrorKind.OVERLOADED;
        if ((other.isEmpty() && !isSameGroupUseful) || !policy.spendRetry()) {
            return false;
        }
        tries++;
        if (other.isPresent()) {
            send(other.get(), 0, false, actions);
            return true;
        }
        int next = error == ErrorKind.OWNER_LOST ? done.candidate() + 1 : done.candidate();
        send(done.group(), next % Math.max(1, policy.ownerCount(done.group())), false, actions);
        return true;
    }

    private void hedge(List<RequestAction> actions) {
        if (!isIdempotent || isAnswered || isGivenUp || open.size() != 1 || tries + 1 >= MOST_TRIES) {
            return;
        }
        SendAttempt first = open.values().iterator().next();
        Set<GroupName> busy = new HashSet<>(excluded);
        busy.add(first.group());
        if (!policy.spendRetry()) {
            return;
        }
        tries++;
        send(policy.selectGroup(busy).orElse(first.group()), 0, true, actions);
    }

    private void giveUp(List<RequestAction> actions) {
        isGivenUp = true;
        open.keySet().forEach(number -> actions.add(new CancelAttempt(number)));
    }

    private void passDeadline(List<RequestAction> actions) {
        isGivenUp = true;
        ErrorKind error = uncertain.orElse(open.isEmpty() ? ErrorKind.DEADLINE_BEFORE_RUN : ErrorKind.DEADLINE_PASSED);
        answerCaller(RequestResult.failed(error), actions);
    }

    private void finish(List<RequestAction> actions) {
        ErrorKind refused = isGivenUp
                ? ErrorKind.DEADLINE_BEFORE_RUN
                : refusal.flatMap(AttemptResult::error).orElse(ErrorKind.INTERNAL);
        ErrorKind error = uncertain.orElse(refused);
        answerCaller(result(error), actions);
        settle(error.outcome(), Optional.empty(), actions);
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

    private void settle(Outcome outcome, Optional<Answer> answer, List<RequestAction> actions) {
        if (isSettled || !isStarted) {
            return;
        }
        isSettled = true;
        actions.add(new RecordOutcome(outcome, answer));
    }
}
