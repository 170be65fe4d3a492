package io.coppershelf.claim.internal;

import io.coppershelf.claim.Claims.ClaimResult;
import io.coppershelf.claim.internal.ClaimMessage.ClaimCompletion;
import io.coppershelf.claim.internal.ClaimMessage.ClaimConfirmation;
import io.coppershelf.claim.internal.ClaimMessage.ClaimReply;
import io.coppershelf.claim.internal.ClaimMessage.ClaimRequest;
import io.coppershelf.component.ControlThread;
import io.coppershelf.component.TimeSource;
import io.coppershelf.membership.FleetView;
import io.coppershelf.membership.Vm;
import io.coppershelf.peer.PeerExchange;
import io.coppershelf.peer.PeerReply;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Asks the holders of a key, and tells them how the attempt ended. Safe for use by several threads. */
public final class ClaimRequester {
    private final HolderState holder;
    private final PeerExchange peers;
    private final FleetView.Source fleet;
    private final ControlThread control;
    private final TimeSource time;

    /** Returns a requester that uses the given services. */
    public ClaimRequester(
            HolderState holder, PeerExchange peers, FleetView.Source fleet, ControlThread control, TimeSource time) {
        this.holder = holder;
        this.peers = peers;
        this.fleet = fleet;
        this.control = control;
        this.time = time;
    }

    /** Registers the handlers of a holder. */
    public void registerHandlers() {
        peers.register(ClaimCodecs.reply());
        peers.register(ClaimCodecs.confirmation());
        peers.register(
                ClaimCodecs.request(),
                (sender, request, replies) -> replies.reply(new ClaimReply(holder.claim(request, time.nanos()))));
        peers.register(ClaimCodecs.completion(), (sender, completion, replies) -> {
            holder.complete(completion, time.nanos());
            replies.reply(new ClaimConfirmation());
        });
    }

    /** Claims the key; an attempt that does not get it is told to the holders as not run. */
    public CompletableFuture<ClaimResult> claim(ClaimRequest request) {
        FleetView view = fleet.current();
        List<String> ids = ClaimCoverage.holders(view, request.key());
        ClaimRound round = new ClaimRound(ids);
        CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        round.verdict().ifPresent(result::complete);
        for (String id : ids) {
            var unused = ask(view, id, request).thenAccept(answer -> onAnswer(round, id, answer, result));
        }
        return result.whenComplete((verdict, failure) -> {
            if (!(verdict instanceof ClaimResult.Claimed)) {
                complete(notRun(request));
            }
        });
    }

    /** Tells the holders how the attempt ended, again until each has confirmed it. */
    public void complete(ClaimCompletion completion) {
        FleetView view = fleet.current();
        ClaimCoverage.holders(view, completion.key()).forEach(id -> tell(view, id, completion, 1));
    }

    private CompletableFuture<Optional<HolderDecision>> ask(FleetView view, String id, ClaimRequest request) {
        if (id.equals(view.self().id())) {
            return CompletableFuture.completedFuture(Optional.of(holder.claim(request, time.nanos())));
        }
        Optional<Vm> target = view.vm(id);
        if (target.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return peers.request(target.get(), request, ClaimLimits.CLAIM_TIMEOUT).thenApply(ClaimRequester::answer);
    }

    private static Optional<HolderDecision> answer(PeerReply reply) {
        boolean answered = reply instanceof PeerReply.Received received && received.message() instanceof ClaimReply;
        return answered
                ? Optional.of(((ClaimReply) ((PeerReply.Received) reply).message()).answer())
                : Optional.empty();
    }

    private static void onAnswer(
            ClaimRound round, String id, Optional<HolderDecision> answer, CompletableFuture<ClaimResult> result) {
        Optional<ClaimResult> verdict;
        synchronized (round) {
            verdict = answer.isPresent() ? round.onReply(id, answer.get()) : round.onNoReply(id);
        }
        verdict.ifPresent(result::complete);
    }

    private void tell(FleetView view, String id, ClaimCompletion completion, int sends) {
        if (id.equals(view.self().id())) {
            holder.complete(completion, time.nanos());
            return;
        }
        Optional<Vm> target = view.vm(id);
        if (target.isEmpty()) {
            return;
        }
        var unused = peers.request(target.get(), completion, ClaimLimits.COMPLETION_RETRY)
                .thenAccept(reply -> tellAgainUnlessConfirmed(id, completion, sends, reply));
    }

    private void tellAgainUnlessConfirmed(String id, ClaimCompletion completion, int sends, PeerReply reply) {
        if (reply instanceof PeerReply.Received || sends >= ClaimLimits.COMPLETION_SENDS) {
            return;
        }
        control.after(ClaimLimits.COMPLETION_RETRY, () -> tell(fleet.current(), id, completion, sends + 1));
    }

    private static ClaimCompletion notRun(ClaimRequest request) {
        return new ClaimCompletion(
                request.key(), request.digest(), request.attempt(), ClaimStatus.NOT_RUN, Optional.empty());
    }
}
