package io.coppershelf.claim;

import com.google.common.flogger.FluentLogger;
import io.coppershelf.backend.BackendResult.Answer;
import io.coppershelf.claim.internal.ClaimLimits;
import io.coppershelf.claim.internal.ClaimMessage.ClaimCompletion;
import io.coppershelf.claim.internal.ClaimMessage.ClaimRequest;
import io.coppershelf.claim.internal.ClaimRequester;
import io.coppershelf.claim.internal.ClaimStatus;
import io.coppershelf.claim.internal.ClaimTransfer;
import io.coppershelf.claim.internal.HolderState;
import io.coppershelf.claim.internal.RequestDigest;
import io.coppershelf.component.Component;
import io.coppershelf.component.ComponentRegistry;
import io.coppershelf.component.ControlThread;
import io.coppershelf.component.TimeSource;
import io.coppershelf.membership.FleetView;
import io.coppershelf.operator.OperatorRegistry;
import io.coppershelf.outcome.Outcome;
import io.coppershelf.peer.PeerExchange;
import io.coppershelf.routing.InboundRequest;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Claims idempotency keys at their holders, and makes this VM a holder itself. */
public final class ClaimComponent implements Component, Claims {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration TICK_INTERVAL = Duration.ofMillis(500);

    private TimeSource time;
    private HolderState holder;
    private ClaimRequester requester;
    private ClaimTransfer transfer;

    @Override
    public String name() {
        return "claim";
    }

    @Override
    public void register(ComponentRegistry registry) {
        registry.register(Claims.NAME, this);
    }

    @Override
    public void start(ComponentRegistry registry) {
        time = registry.require(TimeSource.NAME);
        ControlThread control = registry.require(ControlThread.NAME);
        PeerExchange peers = registry.require(PeerExchange.NAME);
        FleetView.Source fleet = registry.require(FleetView.Source.NAME);
        holder = new HolderState(fleet.current(), time.nanos());
        requester = new ClaimRequester(holder, peers, fleet, control, time);
        transfer = new ClaimTransfer(holder, peers, fleet, time);
        requester.registerHandlers();
        transfer.registerHandlers();
        fleet.onChange(() -> transfer.onFleet(control));
        control.every(TICK_INTERVAL, transfer::pullFromMissingPeers);
        control.every(ClaimLimits.SETTLING_TIME, () -> holder.prune(time.nanos()));
        registry.find(OperatorRegistry.NAME).ifPresent(this::registerStatus);
        logger.atInfo().log("[claim] Started; accepts claims after it has pulled the claim records of its peers.");
    }

    @Override
    public void stop(Duration limit) {
        transfer.handOver(limit);
        logger.atInfo().log("[claim] Stopped; claim records were handed over.");
    }

    @Override
    public CompletableFuture<Claims.ClaimResult> claim(InboundRequest request) {
        if (request.idempotencyKey().isEmpty()) {
            return CompletableFuture.completedFuture(new Claims.ClaimResult.Claimed());
        }
        long remainingMillis = Duration.ofNanos(Math.max(0, request.deadlineNanos() - time.nanos()))
                .toMillis();
        return requester.claim(
                new ClaimRequest(key(request), RequestDigest.of(request), request.id(), remainingMillis));
    }

    @Override
    public void complete(InboundRequest request, Outcome outcome, Optional<Answer> answer) {
        if (request.idempotencyKey().isEmpty()) {
            return;
        }
        Optional<Answer> keptAnswer =
                answer.filter(complete -> complete.body().length <= ClaimLimits.MAX_KEPT_ANSWER_BYTES);
        requester.complete(new ClaimCompletion(
                key(request), RequestDigest.of(request), request.id(), status(outcome), keptAnswer));
    }

    private static String key(InboundRequest request) {
        return request.route().service() + "/" + request.idempotencyKey().orElseThrow();
    }

    private static ClaimStatus status(Outcome outcome) {
        return switch (outcome) {
            case RUN -> ClaimStatus.RUN;
            case NOT_RUN -> ClaimStatus.NOT_RUN;
            case UNKNOWN -> ClaimStatus.UNKNOWN;
        };
    }

    private void registerStatus(OperatorRegistry operators) {
        operators.addReadiness("claims", () -> holder.isComplete(time.nanos()));
        operators.addStatus(status -> holder.describe(status.putObject("claims"), time.nanos()));
    }
}
