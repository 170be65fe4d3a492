package io.coppershelf.bench.matrix;

import io.coppershelf.admission.GroupName;
import io.coppershelf.admission.TryResult;
import io.coppershelf.claim.Claims.Verdict;
import io.coppershelf.claim.internal.AttemptStatus;
import io.coppershelf.claim.internal.ClaimMessage.ClaimCompletion;
import io.coppershelf.claim.internal.ClaimMessage.ClaimRequest;
import io.coppershelf.claim.internal.ClaimRound;
import io.coppershelf.claim.internal.HolderAnswer;
import io.coppershelf.claim.internal.RequestDigest;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.outcome.Outcome;
import io.coppershelf.routing.RequestResult;
import io.coppershelf.routing.internal.RequestAction;
import io.coppershelf.routing.internal.RequestDecisions;
import io.coppershelf.routing.internal.RequestEvent;
import io.coppershelf.routing.internal.TryPolicy;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** One attempt of a caller at one entry VM: the real decisions on claim and tries, driven in virtual time. */
final class EntryAttempt implements TryPolicy {
    static final Duration DEADLINE = Duration.ofSeconds(2);
    private static final Duration GIVE_UP_BEFORE = Duration.ofMillis(200);
    private static final Duration LOSS_NOTICED_AFTER = Duration.ofMillis(300);
    private static final Duration REPLY_WAIT = DEADLINE.plusMillis(500);
    private static final RequestDigest DIGEST = new RequestDigest(1, 2);
    private static final GroupName GROUP = new GroupName(OwnerVm.SERVICE, "thess-a");
    private static final int COMPLETIONS = 5;

    private final String id;
    private final String vm;
    private final RequestWorld world;
    private final VirtualNetwork network;
    private final RequestDecisions decisions = new RequestDecisions(false, this);
    private final Set<Integer> ended = new HashSet<>();
    private final ClaimRound round;
    private Optional<RequestResult> told = Optional.empty();
    private long toldNanos;
    private long startNanos;

    EntryAttempt(String id, String vm, RequestWorld world) {
        this.id = id;
        this.vm = vm;
        this.world = world;
        this.network = world.network();
        this.round = new ClaimRound(RequestWorld.HOLDERS);
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
        ClaimRequest request = new ClaimRequest(RequestWorld.KEY, DIGEST, id, DEADLINE.toMillis());
        for (String holder : RequestWorld.HOLDERS) {
            network.send(vm, holder, () -> {
                HolderAnswer answer = world.holder(holder).claim(request, network.nowNanos());
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
        return RequestWorld.OWNERS.size();
    }

    @Override
    public boolean spendRetry() {
        return true;
    }

    private void onClaim(Optional<Verdict> verdict) {
        if (verdict.isEmpty()) {
            return;
        }
        if (verdict.get() instanceof Verdict.Claimed) {
            world.onStep(Step.CLAIMED);
            network.after(vm, DEADLINE.minus(GIVE_UP_BEFORE), () -> handle(new RequestEvent.GaveUp()));
            network.after(vm, DEADLINE, () -> handle(new RequestEvent.DeadlinePassed()));
            handle(new RequestEvent.Started());
            return;
        }
        tell(
                verdict.get() instanceof Verdict.Answered answered
                        ? RequestResult.answered(answered.answer())
                        : RequestResult.failed(((Verdict.Rejected) verdict.get()).error()));
        complete(AttemptStatus.NOT_RUN, Optional.empty());
    }

    private void handle(RequestEvent event) {
        decisions.on(event).forEach(this::perform);
    }

    private void perform(RequestAction action) {
        if (action instanceof RequestAction.SendTry send) {
            sendTry(send);
        } else if (action instanceof RequestAction.CancelTry cancel) {
            RequestWorld.OWNERS.forEach(owner ->
                    network.send(vm, owner, () -> world.owner(owner).cancel(tryId(cancel.number()))));
        } else if (action instanceof RequestAction.AnswerCaller answer) {
            tell(answer.result());
        } else if (action instanceof RequestAction.Settle settle) {
            complete(status(settle.outcome()), Optional.of(settle));
        }
    }

    private void sendTry(RequestAction.SendTry send) {
        int number = send.number();
        String owner = RequestWorld.OWNERS.get(send.candidate());
        if (!network.isUp(owner)) {
            network.after(vm, Duration.ofMillis(1), () -> end(number, TryResult.failed(ErrorKind.OWNER_UNREACHABLE)));
            return;
        }
        int life = network.incarnation(owner);
        network.send(
                vm,
                owner,
                () -> world.owner(owner)
                        .receive(
                                tryId(number), DEADLINE, result -> network.send(owner, vm, () -> end(number, result))));
        network.after(vm, LOSS_NOTICED_AFTER, () -> {
            if (!network.isUp(owner) || network.incarnation(owner) != life) {
                end(number, TryResult.failed(ErrorKind.OWNER_LOST));
            }
        });
        network.after(vm, REPLY_WAIT, () -> end(number, TryResult.failed(ErrorKind.OWNER_LOST)));
        world.onStep(Step.FORWARDED);
    }

    private String tryId(int number) {
        return id + "/" + number;
    }

    private void end(int number, TryResult result) {
        if (ended.add(number)) {
            handle(new RequestEvent.TryEnded(number, result));
        }
    }

    private void tell(RequestResult result) {
        told = Optional.of(result);
        toldNanos = network.nowNanos();
    }

    private void complete(AttemptStatus status, Optional<RequestAction.Settle> settle) {
        ClaimCompletion completion =
                new ClaimCompletion(RequestWorld.KEY, DIGEST, id, status, settle.flatMap(RequestAction.Settle::answer));
        List<String> holders = RequestWorld.HOLDERS;
        for (int i = 0; i < COMPLETIONS; i++) {
            holders.forEach(holder ->
                    network.send(vm, holder, () -> world.holder(holder).complete(completion, network.nowNanos())));
        }
    }

    private static AttemptStatus status(Outcome outcome) {
        return switch (outcome) {
            case RUN -> AttemptStatus.RUN;
            case NOT_RUN -> AttemptStatus.NOT_RUN;
            case UNKNOWN -> AttemptStatus.UNKNOWN;
        };
    }
}
