package io.coppershelf.admission.internal.runtime;

import io.coppershelf.admission.AttemptRequest;
import io.coppershelf.admission.AttemptResult;
import io.coppershelf.admission.AttemptResult.GroupLoad;
import io.coppershelf.admission.AttemptSender.AttemptExchange;
import io.coppershelf.admission.GroupAction;
import io.coppershelf.admission.GroupEvent;
import io.coppershelf.admission.GroupName;
import io.coppershelf.admission.GroupStatus;
import io.coppershelf.admission.ServerGroupDecisions;
import io.coppershelf.backend.BackendClient;
import io.coppershelf.backend.BackendRequest;
import io.coppershelf.backend.BackendResult;
import io.coppershelf.backend.BackendResult.ServerState;
import io.coppershelf.component.TimeSource;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.ticket.ServerSpec;
import io.coppershelf.ticket.ServiceSpec;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * One server group on a VM that serves it: passes events to its decisions and performs the actions that they return.
 */
final class GroupRuntime {
    private static final Duration CANCEL_LIMIT = Duration.ofMillis(100);

    private final GroupName name;
    private final ServerGroupDecisions decisions;
    private final BackendClient backend;
    private final TimeSource time;
    private final HealthActionExecutor healthActions;
    private final ConcurrentMap<String, PendingAttempt> attempts = new ConcurrentHashMap<>();
    private volatile Map<String, ServerSpec> servers = Map.of();

    GroupRuntime(
            GroupName name,
            ServerGroupDecisions decisions,
            BackendClient backend,
            TimeSource time,
            Function<GroupRuntime, HealthActionExecutor> healthActions) {
        this.name = name;
        this.decisions = decisions;
        this.backend = backend;
        this.time = time;
        this.healthActions = healthActions.apply(this);
    }

    GroupName name() {
        return name;
    }

    /** Applies the service and the servers of the group. */
    void configure(ServiceSpec service, List<ServerSpec> specs) {
        servers = specs.stream().collect(Collectors.toUnmodifiableMap(ServerSpec::name, Function.identity()));
        on(new GroupEvent.Configured(service, specs));
    }

    Optional<ServerSpec> server(String server) {
        return Optional.ofNullable(servers.get(server));
    }

    /** Returns the number of attempts that have not ended. */
    int inFlight() {
        return attempts.size();
    }

    GroupStatus status() {
        synchronized (decisions) {
            return decisions.status(time.nanos());
        }
    }

    /** Accepts an attempt; an attempt whose id is already in flight is not run a second time. */
    AttemptExchange submit(AttemptRequest request) {
        PendingAttempt pending = new PendingAttempt(request, this::cancel);
        if (attempts.putIfAbsent(request.attemptId(), pending) != null) {
            pending.end(AttemptResult.failed(ErrorKind.OWNER_LOST));
            return pending;
        }
        on(new GroupEvent.AttemptArrived(
                request.attemptId(),
                request.route(),
                request.idempotent(),
                request.weight(),
                request.deadlineNanos(),
                request.hedge()));
        return pending;
    }

    private void cancel(PendingAttempt pending) {
        on(new GroupEvent.AttemptCancelled(pending.request().attemptId()));
        endIfQueued(pending, AttemptResult.failed(ErrorKind.DEADLINE_BEFORE_RUN));
    }

    /** Passes one event to the decisions and performs the actions that they return. */
    void on(GroupEvent event) {
        List<GroupAction> actions;
        synchronized (decisions) {
            actions = decisions.on(event, time.nanos());
        }
        actions.forEach(this::perform);
    }

    private void perform(GroupAction action) {
        if (action instanceof GroupAction.Dispatch dispatch) {
            dispatch(dispatch);
            return;
        }
        if (action instanceof GroupAction.Refuse refuse) {
            pending(refuse.attemptId())
                    .ifPresent(pending ->
                            endIfQueued(pending, AttemptResult.refused(refuse.error(), refuse.retryAfter())));
            return;
        }
        if (action instanceof GroupAction.CancelOnServer cancel) {
            pending(cancel.attemptId()).ifPresent(pending -> pending.cancelOnServer(CANCEL_LIMIT));
            return;
        }
        healthActions.perform(action);
    }

    private Optional<PendingAttempt> pending(String attemptId) {
        return Optional.ofNullable(attempts.get(attemptId));
    }

    private void dispatch(GroupAction.Dispatch dispatch) {
        Optional<PendingAttempt> pending = pending(dispatch.attemptId());
        Optional<ServerSpec> server = server(dispatch.server());
        if (pending.isEmpty() || server.isEmpty()) {
            ErrorKind error = pending.isEmpty() ? ErrorKind.DEADLINE_BEFORE_RUN : ErrorKind.NO_SERVER;
            ended(dispatch.attemptId(), BackendResult.failed(error, ServerState.UNSTATED));
            return;
        }
        send(pending.get(), server.get());
    }

    private void send(PendingAttempt pending, ServerSpec server) {
        String attemptId = pending.request().attemptId();
        boolean isSent = pending.send(() -> {
            BackendClient.Exchange exchange = backend.send(backendRequest(pending.request(), server));
            var unused = exchange.result().thenAccept(result -> ended(attemptId, result));
            return exchange;
        });
        if (!isSent) {
            on(new GroupEvent.AttemptEnded(
                    attemptId, Optional.empty(), Optional.of(ErrorKind.DEADLINE_BEFORE_RUN), ServerState.UNSTATED));
        }
    }

    private static BackendRequest backendRequest(AttemptRequest request, ServerSpec server) {
        return new BackendRequest(
                request.attemptId(),
                server,
                request.method(),
                request.target(),
                request.headers(),
                request.body(),
                request.deadlineNanos(),
                request.largestAnswer());
    }

    private void ended(String attemptId, BackendResult result) {
        PendingAttempt pending = attempts.remove(attemptId);
        on(new GroupEvent.AttemptEnded(
                attemptId, result.answer().map(BackendResult.Answer::status), result.error(), result.serverState()));
        if (pending != null) {
            pending.end(AttemptResult.of(result).withLoad(load()));
        }
    }

    private void endIfQueued(PendingAttempt pending, AttemptResult attemptResult) {
        if (pending.endIfQueued(attemptResult.withLoad(load()))) {
            attempts.remove(pending.request().attemptId());
        }
    }

    private GroupLoad load() {
        GroupStatus status = status();
        return new GroupLoad(status.freeSlots(), status.expectedWaitNanos());
    }
}
