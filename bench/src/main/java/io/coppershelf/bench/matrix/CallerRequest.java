package io.coppershelf.bench.matrix;

import io.coppershelf.admission.AttemptResult;
import io.coppershelf.admission.GroupName;
import io.coppershelf.claim.Claims.ClaimResult;
import io.coppershelf.claim.internal.ClaimMessage.ClaimCompletion;
import io.coppershelf.claim.internal.ClaimMessage.ClaimRequest;
import io.coppershelf.claim.internal.ClaimRound;
import io.coppershelf.claim.internal.ClaimStatus;
import io.coppershelf.claim.internal.HolderDecision;
import io.coppershelf.claim.internal.RequestDigest;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.outcome.Outcome;
import io.coppershelf.routing.RequestResult;
import io.coppershelf.routing.internal.AttemptPolicy;
import io.coppershelf.routing.internal.RequestAction;
import io.coppershelf.routing.internal.RequestDecisions;
import io.coppershelf.routing.internal.RequestEvent;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** A caller's request at one entry VM: the production decisions about claim and attempts, run in virtual time. */
final class CallerRequest implements AttemptPolicy {
    static final Duration DEADLINE = Duration.ofSeconds(2);
    /** Time before the deadline after which no further attempt is sent. */
    private static final Duration SEND_CUTOFF_BEFORE_DEADLINE = Duration.ofMillis(200);
    /** Time until an entry VM detects that an owner was killed or restarted. */
    private static final Duration LOSS_DETECTION_DELAY = Duration.ofMillis(300);

    private static final Duration REPLY_TIMEOUT = DEADLINE.plusMillis(500);
    private static final RequestDigest DIGEST = new RequestDigest(1, 2);
    private static final GroupName GROUP = new GroupName(OwnerVm.SERVICE, "thess-a");
    /** Number of times that the completion is sent to each holder. */
    private static final int COMPLETION_SENDS = 5;

    private final String id;
    private final String vm;
    private final RequestSimulation simulation;
    private final VirtualNetwork network;
    private final RequestDecisions decisions = new RequestDecisions(false, this);
    private final Set<Integer> ended = new HashSet<>();
    private final ClaimRound round;
    private Optional<RequestResult> callerResult = Optional.empty();
    private long resultNanos;
    private long startNanos;

    CallerRequest(String id, String vm, RequestSimulation simulation) {
        this.id = id;
        this.vm = vm;
        this.simulation = simulation;
        this.network = simulation.network();
        this.round = new ClaimRound(RequestSimulation.HOLDERS);
    }

    String id() {
        return id;
    }

    String vm() {
        return vm;
    }

    /** Returns the result that the caller received, empty if there is none yet. */
    Optional<RequestResult> result() {
        return callerResult;
    }

    long resultNanos() {
        return resultNanos;
    }

    long startNanos() {
        return startNanos;
    }

    void start() {
        startNanos = network.nowNanos();
        simulation.onStep(Step.RECEIVED);
        ClaimRequest request = new ClaimRequest(RequestSimulation.KEY, DIGEST, id, DEADLINE.toMillis());
        for (String holder : RequestSimulation.HOLDERS) {
            network.send(vm, holder, () -> {
                HolderDecision decision = simulation.holder(holder).claim(request, network.nowNanos());
                network.send(holder, vm, () -> onClaim(round.onReply(holder, decision)));
            });
            network.after(vm, Duration.ofMillis(500), () -> onClaim(round.onNoReply(holder)));
        }
    }

    @Override
    public Optional<GroupName> selectGroup(Set<GroupName> excluded) {
        return excluded.contains(GROUP) ? Optional.empty() : Optional.of(GROUP);
    }

    @Override
    public int ownerCount(GroupName group) {
        return RequestSimulation.OWNERS.size();
    }

    @Override
    public boolean spendRetry() {
        return true;
    }

    private void onClaim(Optional<ClaimResult> result) {
        if (result.isEmpty()) {
            return;
        }
        if (result.get() instanceof ClaimResult.Claimed) {
            simulation.onStep(Step.CLAIMED);
            network.after(
                    vm,
                    DEADLINE.minus(SEND_CUTOFF_BEFORE_DEADLINE),
                    () -> handle(new RequestEvent.SendCutoffReached()));
            network.after(vm, DEADLINE, () -> handle(new RequestEvent.DeadlinePassed()));
            handle(new RequestEvent.Started());
            return;
        }
        reportResult(
                result.get() instanceof ClaimResult.Answered answered
                        ? RequestResult.answered(answered.answer())
                        : RequestResult.failed(((ClaimResult.Rejected) result.get()).error()));
        complete(ClaimStatus.NOT_RUN, Optional.empty());
    }

    private void handle(RequestEvent event) {
        decisions.on(event).forEach(this::perform);
    }

    private void perform(RequestAction action) {
        if (action instanceof RequestAction.SendAttempt send) {
            sendAttempt(send);
        } else if (action instanceof RequestAction.CancelAttempt cancel) {
            RequestSimulation.OWNERS.forEach(owner ->
                    network.send(vm, owner, () -> simulation.owner(owner).cancel(attemptId(cancel.number()))));
        } else if (action instanceof RequestAction.AnswerCaller answer) {
            reportResult(answer.result());
        } else if (action instanceof RequestAction.RecordOutcome recordOutcome) {
            complete(status(recordOutcome.outcome()), Optional.of(recordOutcome));
        }
    }

    private void sendAttempt(RequestAction.SendAttempt send) {
        int number = send.number();
        String owner = RequestSimulation.OWNERS.get(send.candidate());
        if (!network.isUp(owner)) {
            network.after(
                    vm, Duration.ofMillis(1), () -> end(number, AttemptResult.failed(ErrorKind.OWNER_UNREACHABLE)));
            return;
        }
        int incarnation = network.incarnation(owner);
        network.send(
                vm,
                owner,
                () -> simulation
                        .owner(owner)
                        .receive(
                                attemptId(number),
                                DEADLINE,
                                result -> network.send(owner, vm, () -> end(number, result))));
        network.after(vm, LOSS_DETECTION_DELAY, () -> {
            if (!network.isUp(owner) || network.incarnation(owner) != incarnation) {
                end(number, AttemptResult.failed(ErrorKind.OWNER_LOST));
            }
        });
        network.after(vm, REPLY_TIMEOUT, () -> end(number, AttemptResult.failed(ErrorKind.OWNER_LOST)));
        simulation.onStep(Step.FORWARDED);
    }

    private String attemptId(int number) {
        return id + "/" + number;
    }

    private void end(int number, AttemptResult result) {
        if (ended.add(number)) {
            handle(new RequestEvent.AttemptEnded(number, result));
        }
    }

    private void reportResult(RequestResult result) {
        callerResult = Optional.of(result);
        resultNanos = network.nowNanos();
    }

    private void complete(ClaimStatus status, Optional<RequestAction.RecordOutcome> recordOutcome) {
        ClaimCompletion completion = new ClaimCompletion(
                RequestSimulation.KEY, DIGEST, id, status, recordOutcome.flatMap(RequestAction.RecordOutcome::answer));
        List<String> holders = RequestSimulation.HOLDERS;
        for (int i = 0; i < COMPLETION_SENDS; i++) {
            holders.forEach(holder ->
                    network.send(vm, holder, () -> simulation.holder(holder).complete(completion, network.nowNanos())));
        }
    }

    private static ClaimStatus status(Outcome outcome) {
        return switch (outcome) {
            case RUN -> ClaimStatus.RUN;
            case NOT_RUN -> ClaimStatus.NOT_RUN;
            case UNKNOWN -> ClaimStatus.UNKNOWN;
        };
    }
}
