package io.coppershelf.caller.internal;

import com.google.common.flogger.FluentLogger;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import io.coppershelf.backend.HeaderRules;
import io.coppershelf.component.TimeSource;
import io.coppershelf.outcome.CoppershelfException;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.routing.InboundRequest;
import io.coppershelf.routing.RequestPipeline;
import io.coppershelf.routing.RequestResult;
import io.coppershelf.ticket.Configuration;
import io.coppershelf.ticket.RouteSpec;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Reads a caller's request, validates it, passes it to the pipeline and writes the answer. */
final class CallerHandler implements HttpHandler {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final String RESERVED_PATH = "/coppershelf/";

    private final Configuration.Source configuration;
    private final RequestPipeline pipeline;
    private final TimeSource time;
    private final CallerMetrics metrics;
    private final RequestIds ids;
    private final int largestHead;
    private final CallerTimeouts timeouts;
    private final Executor answerExecutor;
    private final ScheduledExecutorService timers;
    private final Set<CallerExchange> openExchanges = ConcurrentHashMap.newKeySet();
    private volatile boolean isStopping;

    CallerHandler(
            Configuration.Source configuration,
            RequestPipeline pipeline,
            TimeSource time,
            CallerMetrics metrics,
            RequestIds ids,
            int largestHead,
            CallerTimeouts timeouts,
            Executor answerExecutor,
            ScheduledExecutorService timers) {
        this.configuration = configuration;
        this.pipeline = pipeline;
        this.time = time;
        this.metrics = metrics;
        this.ids = ids;
        this.largestHead = largestHead;
        this.timeouts = timeouts;
        this.answerExecutor = answerExecutor;
        this.timers = timers;
    }

    /** Refuses new requests from now on. */
    void beginStop() {
        isStopping = true;
    }

    /** Returns whether new requests are served. */
    boolean isServing() {
        return !isStopping && configuration.current().ticketNumber() > 0;
    }

    /** Returns the exchanges that are not answered yet. */
    Set<CallerExchange> openExchanges() {
        return openExchanges;
    }

    @Override
    public void handle(HttpExchange exchange) {
        long receivedNanos = time.nanos();
        CallerExchange[] self = new CallerExchange[1];
        CallerExchange call = new CallerExchange(exchange, ids.next(), () -> openExchanges.remove(self[0]));
        self[0] = call;
        openExchanges.add(call);
        try {
            serve(call, receivedNanos);
        } catch (CoppershelfException e) {
            refuse(call, e.kind(), e.getMessage());
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("[caller] Request %s failed.", call.requestId());
            refuse(call, ErrorKind.INTERNAL, "The request failed inside coppershelf.");
        }
    }

    private void serve(CallerExchange call, long receivedNanos) {
        checkServing();
        RequestHead head = RequestHead.of(call.exchange(), largestHead);
        RouteSpec route = route(head);
        byte[] body = readBody(call, head, route);
        if (call.isAnswered()) {
            return;
        }
        InboundRequest request = new InboundRequest(
                call.requestId(),
                route,
                head.target(),
                HeaderRules.forwardable(head.headers()),
                body,
                head.idempotencyKey(),
                receivedNanos + deadline(head, route).toNanos());
        var unused = pipeline.serve(request)
                .thenAccept(result -> answerExecutor.execute(() -> answer(call, route, result, receivedNanos)));
    }

    private void checkServing() {
        if (isStopping) {
            throw CoppershelfException.of(ErrorKind.STOPPING, "This VM is about to stop.");
        }
        if (configuration.current().ticketNumber() == 0) {
            throw CoppershelfException.of(ErrorKind.STARTING, "This VM has no configuration yet.");
        }
    }

    private RouteSpec route(RequestHead head) {
        Configuration current = configuration.current();
        boolean isReservedPath = head.path().startsWith(RESERVED_PATH);
        Optional<RouteSpec> route = isReservedPath ? Optional.empty() : current.route(head.method(), head.path());
        if (route.isPresent()) {
            return route.get();
        }
        if (!isReservedPath && current.isPathKnown(head.path())) {
            throw CoppershelfException.of(
                    ErrorKind.METHOD_NOT_ALLOWED, "No request kind of this path has the method " + head.method() + ".");
        }
        throw CoppershelfException.of(ErrorKind.UNKNOWN_ROUTE, "No request kind matches the path.");
    }

    private byte[] readBody(CallerExchange call, RequestHead head, RouteSpec route) {
        if (head.length().orElse(1) == 0) {
            return new byte[0];
        }
        Future<?> timer = timers.schedule(
                () -> answerExecutor.execute(
                        () -> refuse(call, ErrorKind.SLOW_REQUEST, "The body took too long to arrive.")),
                timeouts.body().toNanos(),
                TimeUnit.NANOSECONDS);
        try {
            return RequestBody.read(call.exchange().getRequestBody(), head.length(), route.largestBody());
        } finally {
            timer.cancel(false);
        }
    }

    private static Duration deadline(RequestHead head, RouteSpec route) {
        return head.deadline()
                .filter(stated -> stated.compareTo(route.deadline()) < 0)
                .orElse(route.deadline());
    }

    private void refuse(CallerExchange call, ErrorKind error, String message) {
        metrics.recordInvalid(error);
        call.answerAndClose(CallerAnswer.failed(call.requestId(), error, message, error.retryAfter()));
    }

    private void answer(CallerExchange call, RouteSpec route, RequestResult result, long receivedNanos) {
        metrics.record(route.service(), result, time.nanos() - receivedNanos);
        Future<?> timer = timers.schedule(call::abort, timeouts.answer().toNanos(), TimeUnit.NANOSECONDS);
        call.answer(CallerAnswer.of(call.requestId(), result));
        timer.cancel(false);
    }
}
