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

/** Serves requests: claim, tries, answer. */
final class RoutedPipeline implements RequestPipeline {
    private static final Duration SHORTEST_HEDGE_DELAY = Duration.ofMillis(5);

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
        RoutedRequest run = newRun(request, now);
        timers.schedule(run, remaining, hedgeNanos(request.route()));
        if (needsClaim(request)) {
            var unused = claims.claim(request).thenAccept(verdict -> hear(verdict, run));
        } else {
            run.on(new RequestEvent.Started());
        }
        return run.result();
    }

    private static boolean needsClaim(InboundRequest request) {
        return !request.route().idempotent() && request.idempotencyKey().isPresent();
    }

    private RoutedRequest newRun(InboundRequest request, long now) {
        AttemptPolicy policy = policies.recordFirstAttempt(request.route().service(), now);
        RequestDecisions decisions = new RequestDecisions(request.route().idempotent(), policy);
        return new RoutedRequest(request, decisions, context, settled -> settle(request, settled, now));
    }

    private static void hear(Claims.ClaimResult verdict, RoutedRequest run) {
        if (verdict instanceof Claims.ClaimResult.Answered answered) {
            run.answer(RequestResult.answered(answered.answer()));
        } else if (verdict instanceof Claims.ClaimResult.Rejected rejected) {
            run.answer(RequestResult.failed(rejected.error()));
        } else {
            run.on(new RequestEvent.Started());
        }
    }

    private void settle(InboundRequest request, RequestAction.RecordOutcome settled, long startNanos) {
        if (needsClaim(request)) {
            claims.complete(request, settled.outcome(), settled.answer());
        }
        if (settled.answer().isPresent()) {
            record(request.route(), context.time().nanos() - startNanos);
        }
        if (settled.outcome() == Outcome.UNKNOWN) {
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
            OptionalLong usual = latency.estimateNanos();
            return usual.isEmpty()
                    ? usual
                    : OptionalLong.of(Math.max(usual.getAsLong(), SHORTEST_HEDGE_DELAY.toNanos()));
        }
    }
}
