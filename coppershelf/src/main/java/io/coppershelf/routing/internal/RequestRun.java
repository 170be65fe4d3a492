package io.coppershelf.routing.internal;

import io.coppershelf.admission.GroupName;
import io.coppershelf.admission.GroupOwners;
import io.coppershelf.admission.GroupOwners.TryExchange;
import io.coppershelf.admission.OwnerLookup;
import io.coppershelf.admission.TryRequest;
import io.coppershelf.admission.TryResult;
import io.coppershelf.kernel.TimeSource;
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

/** One request under way: feeds its decisions and carries out what they want. */
final class RequestRun {
    private final InboundRequest request;
    private final RequestDecisions decisions;
    private final RunContext context;
    private final Consumer<RequestAction.Settle> onSettled;
    private final CompletableFuture<RequestResult> result = new CompletableFuture<>();
    private final ConcurrentMap<Integer, TryExchange> exchanges = new ConcurrentHashMap<>();
    private final Set<Integer> cancelled = ConcurrentHashMap.newKeySet();

    RequestRun(
            InboundRequest request,
            RequestDecisions decisions,
            RunContext context,
            Consumer<RequestAction.Settle> onSettled) {
        this.request = request;
        this.decisions = decisions;
        this.context = context;
        this.onSettled = onSettled;
    }

    CompletableFuture<RequestResult> result() {
        return result;
    }

    /** Answers the caller without a try. */
    void answer(RequestResult answer) {
        result.complete(answer);
    }

    /** Feeds one event to the decisions and carries out what they want. */
    void on(RequestEvent event) {
        List<RequestAction> actions;
        synchronized (decisions) {
            actions = decisions.on(event);
        }
        actions.forEach(this::perform);
    }

    private void perform(RequestAction action) {
        if (action instanceof RequestAction.SendTry send) {
            send(send);
        } else if (action instanceof RequestAction.CancelTry cancel) {
            cancel(cancel.number());
        } else if (action instanceof RequestAction.AnswerCaller answer) {
            result.complete(answer.result());
        } else if (action instanceof RequestAction.Settle settled) {
            onSettled.accept(settled);
        }
    }

    private void send(RequestAction.SendTry send) {
        List<Vm> owners = context.lookup().ownersReachableFirst(send.group());
        if (send.candidate() >= owners.size()) {
            on(new RequestEvent.TryEnded(send.number(), TryResult.failed(ErrorKind.OWNER_UNREACHABLE)));
            return;
        }
        TryExchange exchange = context.owners().send(owners.get(send.candidate()), tryRequest(send));
        exchanges.put(send.number(), exchange);
        if (cancelled.contains(send.number())) {
            exchange.cancel();
        }
        var unused = exchange.result().thenAccept(outcome -> end(send, outcome));
    }

    private void end(RequestAction.SendTry send, TryResult outcome) {
        exchanges.remove(send.number());
        context.loads().record(send.group(), outcome, context.time().nanos());
        on(new RequestEvent.TryEnded(send.number(), outcome));
    }

    private void cancel(int number) {
        cancelled.add(number);
        TryExchange exchange = exchanges.get(number);
        if (exchange != null) {
            exchange.cancel();
        }
    }

    private TryRequest tryRequest(RequestAction.SendTry send) {
        RouteSpec route = request.route();
        GroupName group = send.group();
        return new TryRequest(
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

    /** The services that all requests use. */
    record RunContext(GroupOwners owners, OwnerLookup lookup, KnownLoads loads, TimeSource time) {}
}
