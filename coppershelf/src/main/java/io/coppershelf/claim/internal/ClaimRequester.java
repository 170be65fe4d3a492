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

/** Sends claims and outcomes of requests to the holders of their keys. Thread-safe. */
public final class ClaimRequester {
    private final HolderState holder;
    private final PeerExchange peers;
    private final FleetView.Source fleet;
    private final ControlThread control;
    private final TimeSource time;

    /** Creates a requester that uses the given components. */
    public ClaimRequester(
            HolderState holder, PeerExchange peers, FleetView.Source fleet, ControlThread control, TimeSource time) {
        this.holder = holder;
        this.peers = peers;
        this.fleet = fleet;
        this.control = control;
        this.time = time;
    }

    /** Registers the codecs and handlers of claims and completions. */
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

    /** Claims the key; if this does not succeed, the request is reported to the holders as not run. */
    public CompletableFuture<ClaimResult> claim(ClaimRequest request) {
        FleetView view = fleet.current();
        List<String> ids = ClaimCoverage.holders(view, request.key());
        ClaimRound round = new ClaimRound(ids);
        CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        round.result().ifPresent(result::complete);
        for (String id : ids) {
            var unused = sendClaim(view, id, request).thenAccept(decision -> onReply(round, id, decision, result));
        }
        return result.whenComplete((claimed, failure) -> {
            if (!(claimed instanceof ClaimResult.Claimed)) {
                complete(notRun(request));
            }
        });
    }

    /**
     * Reports how the request ended to each holder, repeatedly until the holder confirms it or the maximum is reached.
     */
    public void complete(ClaimCompletion completion) {
        FleetView view = fleet.current();
        ClaimCoverage.holders(view, completion.key()).forEach(id -> sendCompletion(view, id, completion, 1));
    }

    private CompletableFuture<Optional<HolderDecision>> sendClaim(FleetView view, String id, ClaimRequest request) {
        if (id.equals(view.self().id())) {
            return CompletableFuture.completedFuture(Optional.of(holder.claim(request, time.nanos())));
        }
        Optional<Vm> target = view.vm(id);
        if (target.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return peers.request(target.get(), request, ClaimLimits.CLAIM_TIMEOUT).thenApply(ClaimRequester::decision);
    }

    private static Optional<HolderDecision> decision(PeerReply reply) {
        boolean answered = reply instanceof PeerReply.Received received && received.message() instanceof ClaimReply;
        return answered
                ? Optional.of(((ClaimReply) ((PeerReply.Received) reply).message()).decision())
                : Optional.empty();
    }

    private static void onReply(
            ClaimRound round, String id, Optional<HolderDecision> decision, CompletableFuture<ClaimResult> result) {
        Optional<ClaimResult> decided;
        synchronized (round) {
            decided = decision.isPresent() ? round.onReply(id, decision.get()) : round.onNoReply(id);
        }
        decided.ifPresent(result::complete);
    }

    private void sendCompletion(FleetView view, String id, ClaimCompletion completion, int sendCount) {
        if (id.equals(view.self().id())) {
            holder.complete(completion, time.nanos());
            return;
        }
        Optional<Vm> target = view.vm(id);
        if (target.isEmpty()) {
            return;
        }
        var unused = peers.request(target.get(), completion, ClaimLimits.COMPLETION_RETRY_INTERVAL)
                .thenAccept(reply -> resendUnlessConfirmed(id, completion, sendCount, reply));
    }

    private void resendUnlessConfirmed(String id, ClaimCompletion completion, int sendCount, PeerReply reply) {
        if (reply instanceof PeerReply.Received || sendCount >= ClaimLimits.MAX_COMPLETION_SENDS) {
            return;
        }
        control.after(
                ClaimLimits.COMPLETION_RETRY_INTERVAL,
                () -> sendCompletion(fleet.current(), id, completion, sendCount + 1));
    }

    private static ClaimCompletion notRun(ClaimRequest request) {
        return new ClaimCompletion(
                request.key(), request.digest(), request.requestId(), ClaimStatus.NOT_RUN, Optional.empty());
    }
}
