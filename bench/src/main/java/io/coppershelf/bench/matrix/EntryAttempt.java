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

/** One attempt of a caller at one entry VM: the real decisions on claim and tries, driven in virtual time. */
final class EntryAttempt implements AttemptPolicy {
    static final Duration DEADLINE = Duration.ofSeconds(2);
    private static final Duration GIVE_UP_BEFORE = Duration.ofMillis(200);
    private static final Duration LOSS_NOTICED_AFTER = Duration.ofMillis(300);
    private static final Duration REPLY_WAIT = DEADLINE.plusMillis(500);
    private static final RequestDigest DIGEST = new RequestDigest(1, 2);
    private static final GroupName GROUP = new GroupName(OwnerVm.SERVICE, "thess-a");
    private static final int COMPLETIONS = 5;

    private final String id;
    private final String vm;
    private final RequestSimulation world;
    private final VirtualNetwork network;
    private final RequestDecisions decisions = new RequestDecisions(false, this);
    private final Set<Integer> ended = new HashSet<>();
    private final ClaimRound round;
    private Optional<RequestResult> told = Optional.empty();
    private long toldNanos;
    private long startNanos;

    EntryAttempt(String id, String vm, RequestSimulation world) {
        this.id = id;
        this.vm = vm;
        this.world = world;
        this.network = world.network();
        this.round = new ClaimRound(RequestSimulation.HOLDERS);
    }

    String id() {
        return id;
    }

    String vm() {
        return vm;
    }

    /** Returns what the caller was told. */
    Optional<RequestResult> result() {
        return told;
    }

    long resultNanos() {
        return toldNanos;
    }

    long startNanos() {
        return startNanos;
    }

    void start() {
        startNanos = network.nowNanos();
        world.onStep(Step.RECEIVED);
        ClaimRequest request = new ClaimRequest(RequestSimulation.KEY, DIGEST, id, DEADLINE.toMillis());
        for (String holder : RequestSimulation.HOLDERS) {
            network.send(vm, holder, () -> {
                HolderDecision answer = world.holder(holder).claim(request, network.nowNanos());
                network.send(holder, vm, () -> onClaim(round.onReply(holder, answer)));
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

    private void onClaim(Optional<ClaimResult> verdict) {
        if (verdict.isEmpty()) {
            return;
        }
        if (verdict.get() instanceof ClaimResult.Claimed) {
            world.onStep(Step.CLAIMED);
            network.after(vm, DEADLINE.minus(GIVE_UP_BEFORE), () -> handle(new RequestEvent.SendCutoffReached()));
            network.after(vm, DEADLINE, () -> handle(new RequestEvent.DeadlinePassed()));
            handle(new RequestEvent.Started());
            return;
        }
        tell(
                verdict.get() instanceof ClaimResult.Answered answered
                        ? RequestResult.answered(answered.answer())
                        : RequestResult.failed(((ClaimResult.Rejected) verdict.get()).error()));
        complete(ClaimStatus.NOT_RUN, Optional.empty());
    }

    private void handle(RequestEvent event) {
        decisions.on(event).forEach(this::perform);
    }

    private void perform(RequestAction action) {
        if (action instanceof RequestAction.SendAttempt send) {
            sendTry(send);
        } else if (action instanceof RequestAction.CancelAttempt cancel) {
            RequestSimulation.OWNERS.forEach(owner ->
                    network.send(vm, owner, () -> world.owner(owner).cancel(attemptId(cancel.number()))));
        } else if (action instanceof RequestAction.AnswerCaller answer) {
            tell(answer.result());
        } else if (action instanceof RequestAction.RecordOutcome settle) {
            complete(status(settle.outcome()), Optional.of(settle));
        }
    }

    private void sendTry(RequestAction.SendAttempt send) {
        int number = send.number();
        String owner = RequestSimulation.OWNERS.get(send.candidate());
        if (!network.isUp(owner)) {
            network.after(
                    vm, Duration.ofMillis(1), () -> end(number, AttemptResult.failed(ErrorKind.OWNER_UNREACHABLE)));
            return;
        }
        int life = network.incarnation(owner);
        network.send(
                vm,
                owner,
                () -> world.owner(owner)
                        .receive(
                                attemptId(number),
                                DEADLINE,
                                result -> network.send(owner, vm, () -> end(number, result))));
        network.after(vm, LOSS_NOTICED_AFTER, () -> {
            if (!network.isUp(owner) || network.incarnation(owner) != life) {
                end(number, AttemptResult.failed(ErrorKind.OWNER_LOST));
            }
        });
        network.after(vm, REPLY_WAIT, () -> end(number, AttemptResult.failed(ErrorKind.OWNER_LOST)));
        world.onStep(Step.FORWARDED);
    }

    private String attemptId(int number) {
        return id + "/" + number;
    }

    private void end(int number, AttemptResult result) {
        if (ended.add(number)) {
            handle(new RequestEvent.AttemptEnded(number, result));
        }
    }

    private void tell(RequestResult result) {
        told = Optional.of(result);
        toldNanos = network.nowNanos();
    }

    private void complete(ClaimStatus status, Optional<RequestAction.RecordOutcome> settle) {
        ClaimCompletion completion = new ClaimCompletion(
                RequestSimulation.KEY, DIGEST, id, status, settle.flatMap(RequestAction.RecordOutcome::answer));
        List<String> holders = RequestSimulation.HOLDERS;
        for (int i = 0; i < COMPLETIONS; i++) {
            holders.forEach(holder ->
                    network.send(vm, holder, () -> world.holder(holder).complete(completion, network.nowNanos())));
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
