package io.coppershelf.bench.matrix;

import io.coppershelf.admission.AttemptResult;
import io.coppershelf.admission.GroupAction;
import io.coppershelf.admission.GroupEvent;
import io.coppershelf.admission.GroupName;
import io.coppershelf.admission.ServerGroup;
import io.coppershelf.backend.BackendResult.Answer;
import io.coppershelf.backend.BackendResult.ServerState;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.ticket.ServerSpec;
import io.coppershelf.ticket.ServiceSpec;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;

/** A VM that owns the server group: the production decisions, run in virtual time. */
final class OwnerVm {
    static final String SERVICE = "millrelease";
    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration CANCEL_TIMEOUT = Duration.ofMillis(500);

    private final String id;
    private final VirtualNetwork network;
    private final Map<String, FakeServer> servers;
    private final Consumer<Step> stepListener;
    private final Map<String, Consumer<AttemptResult>> openAttempts = new HashMap<>();
    private ServerGroup group;
    private boolean stopping;
    private boolean draining;

    OwnerVm(String id, VirtualNetwork network, Map<String, FakeServer> servers, Consumer<Step> stepListener) {
        this.id = id;
        this.network = network;
        this.servers = servers;
        this.stepListener = stepListener;
        start();
    }

    /** Starts with empty state, as after a restart. */
    void start() {
        openAttempts.clear();
        group = ServerGroup.create(new GroupName(SERVICE, "thess-a"), new Random(1));
        configure();
        tick();
    }

    void stop() {
        stopping = true;
    }

    /** Applies a configuration in which the first server is draining. */
    void drainFirstServer() {
        draining = true;
        configure();
    }

    /** Receives a forwarded attempt; its result is passed to the consumer on this VM's side of the network. */
    void receive(String attemptId, Duration remaining, Consumer<AttemptResult> reply) {
        if (stopping) {
            reply.accept(AttemptResult.failed(ErrorKind.STOPPING));
            return;
        }
        openAttempts.put(attemptId, reply);
        long deadline = network.nowNanos() + remaining.toNanos();
        handle(new GroupEvent.AttemptArrived(attemptId, SERVICE + "/release", false, 5, deadline, false));
    }

    void cancel(String attemptId) {
        handle(new GroupEvent.AttemptCancelled(attemptId));
    }

    private void tick() {
        handle(new GroupEvent.Tick());
        network.after(id, TICK, this::tick);
    }

    private void configure() {
        List<ServerSpec> specs = servers.keySet().stream()
                .sorted()
                .map(name -> new ServerSpec(
                        name, SERVICE, "thess-a", "127.0.0.1", 1, 2, 330, draining && name.endsWith("1")))
                .toList();
        handle(new GroupEvent.Configured(new ServiceSpec(SERVICE, 1, 0.2), specs));
    }

    private void handle(GroupEvent event) {
        group.on(event, network.nowNanos()).forEach(this::perform);
    }

    private void perform(GroupAction action) {
        if (action instanceof GroupAction.Dispatch dispatch) {
            dispatch(dispatch.attemptId(), servers.get(dispatch.server()));
        } else if (action instanceof GroupAction.Refuse refuse) {
            reply(refuse.attemptId(), AttemptResult.refused(refuse.error(), refuse.retryAfter()));
        } else if (action instanceof GroupAction.CancelOnServer cancel) {
            cancelOnServer(cancel.attemptId(), servers.get(cancel.server()));
        } else if (action instanceof GroupAction.RequestGrant request) {
            handle(new GroupEvent.GrantRefused(request.server()));
        }
    }

    private void dispatch(String attemptId, FakeServer server) {
        stepListener.accept(Step.SENT);
        network.send(
                id, server.name(), () -> server.receive(attemptId, result -> returnResult(attemptId, server, result)));
    }

    private void returnResult(String attemptId, FakeServer server, FakeServer.Result result) {
        network.send(server.name(), id, () -> end(attemptId, result.body(), result.error()));
    }

    private void cancelOnServer(String attemptId, FakeServer server) {
        network.send(id, server.name(), () -> {
            if (server.cancel(attemptId)) {
                network.send(
                        server.name(),
                        id,
                        () -> end(attemptId, Optional.empty(), Optional.of(ErrorKind.DEADLINE_BEFORE_RUN)));
            }
        });
        network.after(
                id, CANCEL_TIMEOUT, () -> end(attemptId, Optional.empty(), Optional.of(ErrorKind.DEADLINE_PASSED)));
    }

    private void end(String attemptId, Optional<String> body, Optional<ErrorKind> error) {
        if (!openAttempts.containsKey(attemptId)) {
            return;
        }
        Optional<Answer> answer = body.map(text -> new Answer(200, List.of(), text.getBytes(StandardCharsets.UTF_8)));
        reply(attemptId, new AttemptResult(answer, error, Optional.empty(), Optional.empty()));
        handle(new GroupEvent.AttemptEnded(attemptId, answer.map(Answer::status), error, ServerState.READY));
    }

    private void reply(String attemptId, AttemptResult result) {
        Optional.ofNullable(openAttempts.remove(attemptId)).ifPresent(receiver -> receiver.accept(result));
    }
}
