package io.coppershelf.routing.internal;

import io.coppershelf.claim.Claims;
import io.coppershelf.operator.Timeline;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.outcome.Outcome;
import io.coppershelf.routing.InboundRequest;
import io.coppershelf.routing.RequestPipeline;
import io.coppershelf.routing.RequestResult;
import io.coppershelf.routing.internal.RequestRun.RunContext;
import io.coppershelf.ticket.RouteSpec;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** Serves requests: claim, tries, answer. */
final class RoutedPipeline implements RequestPipeline {
    private static final Duration SHORTEST_HEDGE_DELAY = Duration.ofMillis(5);

    private final RunContext context;
    private final ServicePolicies policies;
    private final Claims claims;
    private final Timeline timeline;
    private final RequestTimers timers;
    private final ConcurrentMap<String, UsualLatency> latencies = new ConcurrentHashMap<>();

    RoutedPipeline(
            RunContext context, ServicePolicies policies, Claims claims, Timeline timeline, RequestTimers timers) {
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
        RequestRun run = newRun(request, now);
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

    private RequestRun newRun(InboundRequest request, long now) {
        TryPolicy policy = policies.recordFirstAttempt(request.route().service(), now);
        RequestDecisions decisions = new RequestDecisions(request.route().idempotent(), policy);
        return new RequestRun(request, decisions, context, settled -> settle(request, settled, now));
    }

    private static void hear(Claims.Verdict verdict, RequestRun run) {
        if (verdict instanceof Claims.Verdict.Answered answered) {
            run.answer(RequestResult.answered(answered.answer()));
        } else if (verdict instanceof Claims.Verdict.Rejected rejected) {
            run.answer(RequestResult.failed(rejected.error()));
        } else {
            run.on(new RequestEvent.Started());
        }
    }

    private void settle(InboundRequest request, RequestAction.Settle settled, long startNanos) {
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
        UsualLatency latency = latencies.computeIfAbsent(route.name(), key -> new UsualLatency());
        synchronized (latency) {
            latency.record(latencyNanos);
        }
    }

    private OptionalLong hedgeNanos(RouteSpec route) {
        UsualLatency latency = latencies.get(route.name());
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
