package io.coppershelf.routing.internal;

import io.coppershelf.admission.AttemptRequest;
import io.coppershelf.admission.AttemptResult;
import io.coppershelf.admission.AttemptSender;
import io.coppershelf.admission.AttemptSender.AttemptExchange;
import io.coppershelf.admission.GroupName;
import io.coppershelf.admission.OwnerLookup;
import io.coppershelf.component.TimeSource;
import io.coppershelf.membership.Vm;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.routing.InboundRequest;
import io.coppershelf.routing.RequestResult;
import io.coppershelf.ticket.RouteSpec;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Consumer;

/** One request in progress: passes events to its decisions and performs the actions that they return. */
final class RoutedRequest {
    private final InboundRequest request;
    private final RequestDecisions decisions;
    private final RoutingContext context;
    private final Consumer<RequestAction.RecordOutcome> onOutcome;
    private final CompletableFuture<RequestResult> result = new CompletableFuture<>();
    private final ConcurrentMap<Integer, AttemptExchange> exchanges = new ConcurrentHashMap<>();
    private final Set<Integer> cancelled = ConcurrentHashMap.newKeySet();

    RoutedRequest(
            InboundRequest request,
            RequestDecisions decisions,
            RoutingContext context,
            Consumer<RequestAction.RecordOutcome> onOutcome) {
        this.request = request;
        this.decisions = decisions;
        this.context = context;
        this.onOutcome = onOutcome;
    }

    CompletableFuture<RequestResult> result() {
        return result;
    }

    /** Answers the caller without an attempt. */
    void answer(RequestResult answer) {
        result.complete(answer);
    }

    /** Passes one event to the decisions and performs the actions that they return. */
    void on(RequestEvent event) {
        List<RequestAction> actions;
        synchronized (decisions) {
            actions = decisions.on(event);
        }
        actions.forEach(this::perform);
    }

    private void perform(RequestAction action) {
        if (action instanceof RequestAction.SendAttempt send) {
            send(send);
        } else if (action instanceof RequestAction.CancelAttempt cancel) {
            cancel(cancel.number());
        } else if (action instanceof RequestAction.AnswerCaller answer) {
            result.complete(answer.result());
        } else if (action instanceof RequestAction.RecordOutcome recorded) {
            onOutcome.accept(recorded);
        }
    }

    private void send(RequestAction.SendAttempt send) {
        List<Vm> owners = context.lookup().ownersReachableFirst(send.group());
        if (send.candidate() >= owners.size()) {
            on(new RequestEvent.AttemptEnded(send.number(), AttemptResult.failed(ErrorKind.OWNER_UNREACHABLE)));
            return;
        }
        AttemptExchange exchange = context.sender().send(owners.get(send.candidate()), attemptRequest(send));
        exchanges.put(send.number(), exchange);
        if (cancelled.contains(send.number())) {
            exchange.cancel();
        }
        var unused = exchange.result().thenAccept(attemptResult -> end(send, attemptResult));
    }

    private void end(RequestAction.SendAttempt send, AttemptResult attemptResult) {
        exchanges.remove(send.number());
        context.loads().record(send.group(), attemptResult, context.time().nanos());
        on(new RequestEvent.AttemptEnded(send.number(), attemptResult));
    }

    private void cancel(int number) {
        cancelled.add(number);
        AttemptExchange exchange = exchanges.get(number);
        if (exchange != null) {
            exchange.cancel();
        }
    }

    private AttemptRequest attemptRequest(RequestAction.SendAttempt send) {
        RouteSpec route = request.route();
        GroupName group = send.group();
        return new AttemptRequest(
                request.id() + "." + send.number(),
                group,
                route.name(),
                route.method(),
                request.target(),
                request.headers(),
                request.body(),
                route.idempotent(),
                route.weight(),
                route.largestAnswer(),
                send.hedge(),
                request.deadlineNanos());
    }

    /** The objects that all requests share. */
    record RoutingContext(AttemptSender sender, OwnerLookup lookup, GroupLoadCache loads, TimeSource time) {}
}
