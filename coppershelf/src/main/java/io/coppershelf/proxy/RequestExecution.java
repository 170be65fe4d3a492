package io.coppershelf.proxy;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.Route;
import io.coppershelf.dispatch.AttemptAllocator;
import io.coppershelf.dispatch.PlanStep;
import io.coppershelf.dispatch.RequestPlan;
import io.coppershelf.dispatch.RetryCost;
import io.coppershelf.dispatch.TypicalLatency;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.overload.AdmissionDecision;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Executes the plan of one request. Runs on the traffic thread. */
final class RequestExecution implements AttemptAllocator, Attempt.Listener {
    /** Deducted from the caller's timeout for the transfer of the answer. */
    private static final long ANSWER_TRANSFER_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Interval at which an attempt whose answer waits for memory is checked. */
    private static final long MEMORY_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    /**
     * Longest time after the deadline for which an answer that waits for memory is awaited, if its end is known: the
     * server has run the request, and a late answer is worth more to the caller than none.
     */
    private static final long MAX_LATE_NANOS = TimeUnit.SECONDS.toNanos(30);

    private static final int FIRST_SERVER_ERROR = 500;
    private final TrafficContext context;
    private final ResolvedRequest resolved;
    private final Route route;
    private final int rank;
    private final String service;
    private final CallerRequest request;
    private final AnswerSink sink;
    private final String requestId;
    private final long deadlineNanos;
    private final TypicalLatency latency;
    private final RequestPlan plan;
    private final CrashWatch crashWatch;
    private final RequestLog requestLog;
    private final RequestWriter writer;
    private final List<Attempt> attempts = new ArrayList<>();
    private Optional<ScheduledFuture<?>> timer = Optional.empty();
    private boolean isCounted;
    private boolean isEnded;

    RequestExecution(
            TrafficContext context,
            ResolvedRequest resolved,
            String service,
            CallerRequest request,
            Optional<Duration> callerTimeout,
            AnswerSink sink) {
        this.context = context;
        this.resolved = resolved;
        route = resolved.route();
        rank = resolved.rank();
        this.service = service;
        this.request = request;
        this.sink = sink;
        requestId = Optional.ofNullable(request.headers().get(context.names().requestId()))
                .orElse("");
        long remainingNanos = callerTimeout.orElse(route.timeout()).toNanos() - ANSWER_TRANSFER_NANOS;
        deadlineNanos = request.readAtNanos() + Math.min(route.timeout().toNanos(), remainingNanos);
        latency = context.latency(service, route.kind().name());
        crashWatch = new CrashWatch(context, request, requestId);
        requestLog = new RequestLog(context, resolved, service, request, requestId, deadlineNanos);
        writer = new RequestWriter(context, resolved, service, request, deadlineNanos, this::reasonNotToSend);
        int maxServers = request.relay()
                .map(relay -> Math.min(relay.servers(), route.maxServers()))
                .orElse(route.maxServers());
        plan = new RequestPlan(route, maxServers, this, deadlineNanos, latency);
    }

    /** Starts the first attempt. */
    void start() {
        context.metrics().requestStarted();
        long now = System.nanoTime();
        if (!isCutOff() && isRefused(now)) {
            return;
        }
        isCounted = !isCutOff() && isFirstToSend();
        if (isCounted) {
            // Else the VM that the request is handed to counts it, or the one that sent it to a server before.
            context.budget().countRequest(service, rank, now);
        }
        execute(plan.start(now));
    }

    /** Answers the caller at once if the service has no capacity for the request. */
    private boolean isRefused(long nowNanos) {
        Optional<AdmissionDecision.Refuse> refusal =
                context.admission().refusal(resolved, service, request, deadlineNanos, nowNanos);
        refusal.ifPresent(refuse -> {
            requestLog.refusedBy(refuse.inputs());
            end(new PlanStep.Fail(ErrorKind.OVERLOADED, refuse.reason(), Optional.of(refuse.retryAfter())));
        });
        return refusal.isPresent();
    }

    /** Returns the number of servers that the request was sent to. */
    int serversReached() {
        return plan.serversReached();
    }

    /**
     * Handles the disconnection of the caller: attempts of a repeatable request are cancelled, others run to their end,
     * at most until their deadline.
     */
    void callerDisconnected() {
        if (isEnded) {
            return;
        }
        isEnded = true;
        timer.ifPresent(scheduled -> scheduled.cancel(false));
        if (route.kind().isRepeatable()) {
            cancelAttempts();
        } else {
            long remainingNanos = Math.max(0, deadlineNanos - System.nanoTime());
            context.loop().schedule(this::cancelAttempts, remainingNanos, TimeUnit.NANOSECONDS);
        }
        recordEnd("caller-left", "the caller closed its connection", false);
    }

    /** Ends the request with what is known of it, as the VM stops. */
    void abort() {
        execute(plan.abort(System.nanoTime()));
    }

    @Override
    public Optional<BackendServer> choose(Set<String> excluded, boolean isLastAttempt) {
        Set<String> unsuitable = context.serverBodies().unsuitable(request, accepting(), excluded);
        return context.admission()
                .choose(service, route.kind(), plan.serversReached() > 0, isLastAttempt, unsuitable, System.nanoTime());
    }

    @Override
    public Optional<Duration> pause() {
        return context.chooser()
                .pause(accepting(), System.nanoTime())
                .or(() -> context.serverBodies().pause(request, accepting()));
    }

    @Override
    public Optional<Duration> quarantine() {
        return crashWatch.quarantine(System.nanoTime());
    }

    @Override
    public boolean isCutOff() {
        return context.reachability().isCutOff();
    }

    @Override
    public Optional<InetSocketAddress> relay(Set<InetSocketAddress> excluded) {
        // A request is handed on once only, so that it can't travel in a circle.
        return request.relay().isPresent()
                ? Optional.empty()
                : context.reachableChooser()
                        .relays()
                        .choose(service, excluded, context.state()::relay, System.nanoTime());
    }

    @Override
    public boolean isOutOfReach(Set<String> excluded) {
        return context.reachableChooser().isOutOfReach(accepting(), excluded, System.nanoTime());
    }

    private List<BackendServer> accepting() {
        return context.state().catalog().servers().accepting(service);
    }

    private boolean isFirstToSend() {
        return request.relay()
                .map(relay -> relay.servers() >= route.maxServers())
                .orElse(true);
    }

    @Override
    public boolean canRetry() {
        return context.budget()
                .canAcquire(
                        service,
                        new RetryCost(rank, false),
                        context.state().fleetPosition().size(),
                        System.nanoTime());
    }

    @Override
    public boolean tryAcquireRetry(boolean isProvedNotRun) {
        long now = System.nanoTime();
        RetryCost cost =
                RetryCost.of(rank, isProvedNotRun, deadlineNanos - now, latency.typicalNanos(route.objective()));
        return context.budget()
                .tryAcquire(service, cost, context.state().fleetPosition().size(), now);
    }

    @Override
    public void ended(int number, Attempt.End end, String detail) {
        if (attempts.get(number) instanceof ServerAttempt attempt
                && attempt.unreportedLoss().isPresent()) {
            crashWatch.attemptLost(
                    attempt.server(), attempt.unreportedLoss().get(), () -> proceed(number, end, detail));
        } else {
            proceed(number, end, detail);
        }
    }

    private void proceed(int number, Attempt.End end, String detail) {
        if (isEnded) {
            return;
        }
        long now = System.nanoTime();
        Attempt attempt = attempts.get(number);
        if (end == Attempt.End.ANSWERED) {
            crashWatch.succeeded();
            if (!attempt.hasReadingPaused()) {
                latency.add(attempt.ageNanos());
                context.admission().recordAnswer(service, route.name(), attempt.ageNanos());
            }
        } else {
            requestLog.attemptEnded(attempt, number, end.name(), detail);
        }
        if (attempt instanceof RelayAttempt relayed) {
            relayed.recordReach(service, end, now);
        }
        execute(
                switch (end) {
                    case NOT_SENT -> plan.notSent(number, now);
                    case NOT_RUN -> notRun(attempt, number, now);
                    case ANSWERED -> plan.answered(number);
                    case FAILED -> plan.failed(number, now);
                    case LOST -> plan.lost(number, now);
                });
    }

    private List<PlanStep> notRun(Attempt attempt, int number, long nowNanos) {
        return attempt instanceof RelayAttempt relayed
                ? plan.relayNotRun(number, relayed.serversReached(), relayed.retryAfter(), nowNanos)
                : plan.notRun(number, nowNanos);
    }

    private void execute(List<PlanStep> steps) {
        for (PlanStep step : steps) {
            if (step instanceof PlanStep.Send send) {
                send(send);
            } else if (step instanceof PlanStep.Relay relay) {
                relay(relay);
            } else if (step instanceof PlanStep.ReportStall stall
                    && attempts.get(stall.attempt()) instanceof ServerAttempt stalled) {
                stalled.reportStall();
            } else if (step instanceof PlanStep.Deliver deliver) {
                end(deliver);
            } else if (step instanceof PlanStep.Fail fail) {
                end(fail);
            }
        }
        if (!isEnded) {
            schedule();
        }
    }

    private void schedule() {
        timer.ifPresent(scheduled -> scheduled.cancel(false));
        long delay = isWaitingForMemory()
                ? MEMORY_CHECK_NANOS
                : Math.max(0, plan.nextTimer(System.nanoTime()) - System.nanoTime());
        timer = Optional.of(context.loop().schedule(this::timerExpired, delay, TimeUnit.NANOSECONDS));
    }

    private void timerExpired() {
        execute(isWaitingForMemory() ? List.of() : plan.timerExpired(System.nanoTime()));
    }

    /** Returns whether neither a hedge nor the deadline is due, since an answer that is expected only lacks memory. */
    private boolean isWaitingForMemory() {
        long lateNanos = System.nanoTime() - deadlineNanos;
        return attempts.stream()
                .filter(attempt -> !attempt.isEnded() && attempt.hasReadingPaused())
                .anyMatch(attempt -> lateNanos < 0 || attempt.isAnswerExpectedWithin(MAX_LATE_NANOS - lateNanos));
    }

    private void send(PlanStep.Send send) {
        ServerAttempt attempt = new ServerAttempt(
                context, send.attempt(), send.server(), requestId, ServerBodies.isLarge(request), this);
        attempts.add(attempt);
        requestLog.attemptStarted(attempt);
        writer.send(attempt);
    }

    private void relay(PlanStep.Relay relay) {
        if (isCounted && relay.servers() == plan.maxServers()) {
            // No server has received it, so the other VM counts it.
            isCounted = false;
            context.budget().uncountRequest(service, System.nanoTime());
        }
        RelayAttempt attempt = new RelayAttempt(context, relay.attempt(), relay.vm(), requestId, this);
        attempts.add(attempt);
        writer.send(attempt, relay.servers());
    }

    private Optional<String> reasonNotToSend() {
        if (isEnded) {
            return Optional.of("the request has ended");
        }
        return quarantine().map(remaining -> "the request is quarantined");
    }

    private void end(PlanStep.Deliver deliver) {
        Attempt attempt = attempts.get(deliver.attempt());
        isEnded = true;
        cancelAttempts();
        boolean isSuccess = attempt.answer().status() < FIRST_SERVER_ERROR;
        recordEnd(
                isSuccess ? "answered" : "server-failure",
                "status " + attempt.answer().status() + " of " + attempt.target(),
                isSuccess);
        sink.deliver(attempt.answer());
    }

    private void end(PlanStep.Fail fail) {
        isEnded = true;
        cancelAttempts();
        recordEnd(fail.kind().code(), fail.reason(), false);
        sink.fail(fail.kind(), fail.reason(), fail.retryAfter());
    }

    private void cancelAttempts() {
        timer.ifPresent(scheduled -> scheduled.cancel(false));
        for (int i = 0; i < attempts.size(); i++) {
            Attempt attempt = attempts.get(i);
            if (!attempt.isEnded()) {
                requestLog.attemptEnded(attempt, i, "CANCELLED", "no answer until the request ended");
                attempt.cancel();
            }
        }
    }

    private void recordEnd(String outcome, String reason, boolean isRoutine) {
        requestLog.ended(outcome, reason, isRoutine, plan.serversReached(), attempts.size(), crashWatch);
    }
}
