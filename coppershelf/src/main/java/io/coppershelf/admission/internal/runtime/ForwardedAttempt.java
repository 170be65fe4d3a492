package io.coppershelf.admission.internal.runtime;

import io.coppershelf.admission.AttemptRequest;
import io.coppershelf.admission.AttemptResult;
import io.coppershelf.admission.AttemptSender.AttemptExchange;
import io.coppershelf.component.TimeSource;
import io.coppershelf.membership.Vm;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.peer.PeerExchange;
import io.coppershelf.peer.PeerReply;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** An attempt that was forwarded to the owner of its group on another VM. */
final class ForwardedAttempt implements AttemptExchange {
    /** How long after the deadline the reply of the owner is still accepted. */
    private static final Duration REPLY_MARGIN = Duration.ofMillis(500);

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final PeerExchange peers;
    private final Vm owner;
    private final AttemptRequest request;
    private final CompletableFuture<AttemptResult> result;

    private ForwardedAttempt(
            PeerExchange peers, Vm owner, AttemptRequest request, CompletableFuture<AttemptResult> result) {
        this.peers = peers;
        this.owner = owner;
        this.request = request;
        this.result = result;
    }

    /** Forwards the attempt, unless its deadline has passed. */
    static ForwardedAttempt send(PeerExchange peers, TimeSource time, Vm owner, AttemptRequest request) {
        long remainingMillis = (request.deadlineNanos() - time.nanos()) / NANOS_PER_MILLI;
        if (remainingMillis < 1) {
            return new ForwardedAttempt(
                    peers,
                    owner,
                    request,
                    CompletableFuture.completedFuture(AttemptResult.failed(ErrorKind.DEADLINE_BEFORE_RUN)));
        }
        Duration timeout = Duration.ofMillis(remainingMillis).plus(REPLY_MARGIN);
        CompletableFuture<AttemptResult> result = peers.request(
                        owner, new ForwardRequest(request, remainingMillis), timeout)
                .thenApply(reply -> read(reply, request.attemptId()));
        return new ForwardedAttempt(peers, owner, request, result);
    }

    private static AttemptResult read(PeerReply reply, String attemptId) {
        if (reply instanceof PeerReply.NotSent) {
            return AttemptResult.failed(ErrorKind.OWNER_UNREACHABLE);
        }
        if (reply instanceof PeerReply.Received received
                && received.message() instanceof ForwardReply forward
                && forward.attemptId().equals(attemptId)) {
            return forward.result();
        }
        return AttemptResult.failed(ErrorKind.OWNER_LOST);
    }

    @Override
    public CompletableFuture<AttemptResult> result() {
        return result;
    }

    @Override
    public void cancel() {
        if (!result.isDone()) {
            peers.send(owner, new ForwardCancel(request.attemptId()));
        }
    }
}
