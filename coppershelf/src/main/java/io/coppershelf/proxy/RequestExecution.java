package io.coppershelf.proxy;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.Catalog;
import io.coppershelf.catalog.Route;
import io.coppershelf.dispatch.AttemptAllocator;
import io.coppershelf.dispatch.ChoiceInputs;
import io.coppershelf.dispatch.PlanStep;
import io.coppershelf.dispatch.RequestPlan;
import io.coppershelf.dispatch.TypicalLatency;
import io.coppershelf.eventlog.Fields;
import io.coppershelf.http.HttpConnection;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Executes the plan of one request. Runs on the traffic thread. */
final class RequestExecution implements AttemptAllocator, ServerAttempt.Listener {
    /** Deducted from the caller's timeout for the transfer of the answer. */
    private static final long ANSWER_TRANSFER_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    /**
     * Longest idle time of a connection that is used for a request that can't be retried: a connection that was idle
     * for longer may have failed silently, and the loss of the request costs far more than a new connection.
     */
    private static final long ONCE_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    /** Connections that a server accepts from the whole fleet if the configuration states no number. */
    private static final int DEFAULT_CONNECTION_CAP = 100;
    /** Connections to a server that each VM may always open, so that every VM of a large fleet can send requests. */
    private static final int MIN_CONNECTIONS = 2;

    private static final int FIRST_SERVER_ERROR = 500;

    private final TrafficContext context;
    private final Route route;
    private final String service;
    private final CallerRequest request;
    private final AnswerSink sink;
    private final String requestId;
    private final long deadlineNanos;
    private final TypicalLatency latency;
    private final RequestPlan plan;
    private final CrashWatch crashWatch;
    private final List<ServerAttempt> attempts = new ArrayList<>();
    private Optional<ScheduledFuture<?>> timer = Optional.empty();
    private boolean isEnded;

    RequestExecution(
            TrafficContext context,
            Route route,
            String service,
            CallerRequest request,
            Optional<Duration> callerTimeout,
            AnswerSink sink) {
        this.context = context;
        this.route = route;
        this.service = service;
        this.request = request;
        this.sink = sink;
        requestId = Optional.ofNullable(request.headers().get(context.names().requestId()))
                .orElse("");
        long remainingNanos = callerTimeout.orElse(route.timeout()).toNanos() - ANSWER_TRANSFER_NANOS;
        deadlineNanos = request.readAtNanos() + Math.min(route.timeout().toNanos(), remainingNanos);
        latency = context.latency(service, route.kind().name());
        crashWatch = new CrashWatch(context, request, requestId);
        plan = new RequestPlan(route, this, deadlineNanos, latency);
    }

    /** Starts the first attempt. */
    void start() {
        context.metrics().requestStarted();
        long now = System.nanoTime();
        context.budget().countRequest(service, now);
        execute(plan.start(now));
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

    @Override
    public Optional<BackendServer> choose(Set<String> excluded, boolean isLastAttempt) {
        Catalog catalog = context.state().catalog();
        return context.chooser()
                .choose(catalog.servers().accepting(service), route.kind(), isLastAttempt, excluded, System.nanoTime());
    }

    @Override
    public Optional<Duration> pause() {
        return context.chooser().pause(context.state().catalog().servers().accepting(service), System.nanoTime());
    }

    @Override
    public Optional<Duration> quarantine() {
        return crashWatch.quarantine(System.nanoTime());
    }

    @Override
    public boolean canRetry() {
        return context.budget()
                .canAcquire(service, context.state().fleetPosition().size(), System.nanoTime());
    }

    @Override
    public boolean tryAcquireRetry() {
        return context.budget()
                .tryAcquire(service, context.state().fleetPosition().size(), System.nanoTime());
    }

    @Override
    public void ended(int number, ServerAttempt.End end, String detail) {
        if (end == ServerAttempt.End.LOST) {
            crashWatch.attemptLost(attempts.get(number).server(), () -> proceed(number, end, detail));
        } else {
            proceed(number, end, detail);
        }
    }

    private void proceed(int number, ServerAttempt.End end, String detail) {
        if (isEnded) {
            return;
        }
        long now = System.nanoTime();
        ServerAttempt attempt = attempts.get(number);
        if (end == ServerAttempt.End.ANSWERED) {
            crashWatch.succeeded();
            latency.add(attempt.ageNanos());
        } else {
            logAttempt(attempt, number, end.name(), detail);
        }
        execute(
                switch (end) {
                    case NOT_SENT -> plan.notSent(number, now);
                    case NOT_RUN -> plan.notRun(number, now);
                    case ANSWERED -> plan.answered(number);
                    case FAILED -> plan.failed(number, now);
                    case LOST -> plan.lost(number, now);
                });
    }

    private void execute(List<PlanStep> steps) {
        for (PlanStep step : steps) {
            if (step instanceof PlanStep.Send send) {
                send(send);
            } else if (step instanceof PlanStep.ReportStall stall) {
                attempts.get(stall.attempt()).reportStall();
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
        long delay = Math.max(0, plan.nextTimer(System.nanoTime()) - System.nanoTime());
        timer = Optional.of(context.loop()
                .schedule(() -> execute(plan.timerExpired(System.nanoTime())), delay, TimeUnit.NANOSECONDS));
    }

    private void send(PlanStep.Send send) {
        ServerAttempt attempt = new ServerAttempt(context, send.attempt(), send.server(), requestId, this);
        attempts.add(attempt);
        long maxIdle = !route.kind().isRepeatable() ? ONCE_IDLE_NANOS : Long.MAX_VALUE;
        context.pool()
                .acquire(
                        send.server(),
                        maxIdle,
                        maxConnections(),
                        connection -> write(attempt, connection),
                        attempt::connectFailed);
    }

    /** Returns this VM's share of the connections that a server accepts. */
    private int maxConnections() {
        int cap = context.state()
                .catalog()
                .configuration()
                .map(configuration -> configuration.connectionCaps().get(service))
                .orElse(DEFAULT_CONNECTION_CAP);
        return Math.max(MIN_CONNECTIONS, cap / context.state().fleetPosition().size());
    }

    private void write(ServerAttempt attempt, HttpConnection connection) {
        long now = System.nanoTime();
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - now);
        boolean isPaused = context.chooser().stats(attempt.server()).remainingPauseNanos(now) > 0;
        boolean isDrained = context.state()
                .catalog()
                .servers()
                .server(attempt.server().id())
                .filter(known -> known.isAccepting() && known.isSameIncarnation(attempt.server()))
                .isEmpty();
        if (attempt.isEnded() || isEnded || isDrained || isPaused || remainingMillis <= 0) {
            connection.close();
            attempt.notSent(reasonNotSent(isDrained, isPaused));
            return;
        }
        if (quarantine().isPresent()) {
            connection.close();
            attempt.notSent("the request is quarantined");
            return;
        }
        attempt.connected(connection);
        DefaultFullHttpRequest outgoing = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.uri(),
                Unpooled.wrappedBuffer(request.body()),
                headersFor(attempt.server(), remainingMillis),
                new DefaultHttpHeaders());
        connection.exchange(outgoing, attempt);
    }

    private static String reasonNotSent(boolean isDrained, boolean isPaused) {
        if (isDrained) {
            return "the server is leaving";
        }
        return isPaused ? "the server asked for a pause" : "no time is left";
    }

    private HttpHeaders headersFor(BackendServer server, long remainingMillis) {
        HttpHeaders headers = EndToEndHeaders.copy(request.headers());
        headers.set(context.names().deadlineMillis(), Long.toString(remainingMillis));
        headers.set(context.names().targetServer(), server.id());
        if (request.body().length > 0 || EndToEndHeaders.declaresBody(request.headers())) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(request.body().length));
        }
        return headers;
    }

    private void end(PlanStep.Deliver deliver) {
        ServerAttempt attempt = attempts.get(deliver.attempt());
        isEnded = true;
        cancelAttempts();
        boolean isSuccess = attempt.answer().status() < FIRST_SERVER_ERROR;
        recordEnd(
                isSuccess ? "answered" : "server-failure",
                "status " + attempt.answer().status() + " of "
                        + attempt.server().id(),
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
            ServerAttempt attempt = attempts.get(i);
            if (!attempt.isEnded()) {
                logAttempt(attempt, i, "CANCELLED", "no answer until the request ended");
                attempt.cancel();
            }
        }
    }

    private void recordEnd(String outcome, String reason, boolean isRoutine) {
        long tookNanos = System.nanoTime() - request.readAtNanos();
        context.metrics().requestEnded();
        context.metrics().recordRequest(outcome, tookNanos);
        Map<String, Object> fields = Fields.of(
                "request", requestId,
                "route", route.name(),
                "service", service,
                "outcome", outcome,
                "reason", reason,
                "tookMs", TimeUnit.NANOSECONDS.toMillis(tookNanos),
                "leftMs", TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime()),
                "servers", plan.serversReached(),
                "attempts", attempts.size());
        if (isRoutine) {
            context.log().routine("request-ended", fields);
        } else {
            // Tell which failed requests are the same; their ids differ.
            fields.put("caller", request.caller());
            fields.put("fingerprint", crashWatch.fingerprint().toString());
            context.log().important("request-ended", fields);
        }
    }

    private void logAttempt(ServerAttempt attempt, int number, String end, String detail) {
        Catalog catalog = context.state().catalog();
        ChoiceInputs inputs = attempt.inputs();
        context.log()
                .important(
                        "attempt-ended",
                        Fields.of(
                                "request", requestId,
                                "attempt", number,
                                "server", attempt.server().id(),
                                "end", end,
                                "detail", detail,
                                "tookMs", TimeUnit.NANOSECONDS.toMillis(attempt.ageNanos()),
                                "sicknessThen", inputs.unhealthyProbability(),
                                "observedMsBefore", inputs.observationAge().toMillis(),
                                "busyThen", inputs.load(),
                                "serversRevision", catalog.servers().revision()));
    }
}
