package io.coppershelf.routing.internal;

import io.coppershelf.claim.Claims;
import io.coppershelf.operator.Timeline;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.outcome.Outcome;
import io.coppershelf.routing.InboundRequest;
import io.coppershelf.routing.RequestPipeline;
import io.coppershelf.routing.RequestResult;
import io.coppershelf.routing.internal.RoutedRequest.RoutingContext;
import io.coppershelf.ticket.RouteSpec;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** Serves requests: obtains a claim where one is needed, then sends attempts and returns the answer. */
final class RoutedPipeline implements RequestPipeline {
    private static final Duration MIN_HEDGE_DELAY = Duration.ofMillis(5);

    private final RoutingContext context;
    private final AttemptPolicies policies;
    private final Claims claims;
    private final Timeline timeline;
    private final RequestTimers timers;
    private final ConcurrentMap<String, LatencyPercentile> latencies = new ConcurrentHashMap<>();

    RoutedPipeline(
            RoutingContext context, AttemptPolicies policies, Claims claims, Timeline timeline, RequestTimers timers) {
        this.context = context;
        this.policies = policies;
        this.claims = claims;
        this.timeline = timeline;
        this.timers = timers;
    }

    @Override
    public CompletableFuture<RequestResult> serve(InboundRequest request) {
        long now = context.time().nanos();
        long remaining = request.deadlineNanos() - now;
        if (remaining <= 0) {
            return CompletableFuture.completedFuture(RequestResult.failed(ErrorKind.DEADLINE_BEFORE_RUN));
        }
        RoutedRequest routed = newRoutedRequest(request, now);
        timers.schedule(routed, remaining, hedgeNanos(request.route()));
        if (needsClaim(request)) {
            var unused = claims.claim(request).thenAccept(claimResult -> applyClaimResult(claimResult, routed));
        } else {
            routed.on(new RequestEvent.Started());
        }
        return routed.result();
    }

    private static boolean needsClaim(InboundRequest request) {
        return !request.route().idempotent() && request.idempotencyKey().isPresent();
    }

    private RoutedRequest newRoutedRequest(InboundRequest request, long now) {
        AttemptPolicy policy = policies.recordFirstAttempt(request.route().service(), now);
        RequestDecisions decisions = new RequestDecisions(request.route().idempotent(), policy);
        return new RoutedRequest(request, decisions, context, recorded -> recordOutcome(request, recorded, now));
    }

    private static void applyClaimResult(Claims.ClaimResult claimResult, RoutedRequest routed) {
        if (claimResult instanceof Claims.ClaimResult.Answered answered) {
            routed.answer(RequestResult.answered(answered.answer()));
        } else if (claimResult instanceof Claims.ClaimResult.Rejected rejected) {
            routed.answer(RequestResult.failed(rejected.error()));
        } else {
            routed.on(new RequestEvent.Started());
        }
    }

    private void recordOutcome(InboundRequest request, RequestAction.RecordOutcome recorded, long startNanos) {
        if (needsClaim(request)) {
            claims.complete(request, recorded.outcome(), recorded.answer());
        }
        if (recorded.answer().isPresent()) {
            record(request.route(), context.time().nanos() - startNanos);
        }
        if (recorded.outcome() == Outcome.UNKNOWN) {
            timeline.record(Timeline.Event.of(
                            "routing", "Outcome unknown of " + request.route().name())
                    .ofService(request.route().service())
                    .ofRequest(request.id()));
        }
    }

    private void record(RouteSpec route, long latencyNanos) {
        LatencyPercentile latency = latencies.computeIfAbsent(route.name(), key -> new LatencyPercentile());
        synchronized (latency) {
            latency.record(latencyNanos);
        }
    }

    private OptionalLong hedgeNanos(RouteSpec route) {
        LatencyPercentile latency = latencies.get(route.name());
        if (!route.idempotent() || latency == null) {
            return OptionalLong.empty();
        }
        synchronized (latency) {
            OptionalLong percentile = latency.estimateNanos();
            return percentile.isEmpty()
                    ? percentile
                    : OptionalLong.of(Math.max(percentile.getAsLong(), MIN_HEDGE_DELAY.toNanos()));
        }
    }
}
