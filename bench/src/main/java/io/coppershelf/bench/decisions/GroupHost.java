package io.coppershelf.bench.decisions;

import io.coppershelf.admission.GroupAction;
import io.coppershelf.admission.GroupAction.CancelOnServer;
import io.coppershelf.admission.GroupAction.ConditionChanged;
import io.coppershelf.admission.GroupAction.Dispatch;
import io.coppershelf.admission.GroupAction.Probe;
import io.coppershelf.admission.GroupAction.QueryReachability;
import io.coppershelf.admission.GroupAction.Refuse;
import io.coppershelf.admission.GroupAction.ReleaseGrant;
import io.coppershelf.admission.GroupAction.RequestGrant;
import io.coppershelf.admission.GroupAction.ShareServiceTimes;
import io.coppershelf.admission.GroupEvent;
import io.coppershelf.admission.GroupEvent.AttemptArrived;
import io.coppershelf.admission.GroupEvent.AttemptEnded;
import io.coppershelf.admission.GroupEvent.Configured;
import io.coppershelf.admission.GroupEvent.GrantReceived;
import io.coppershelf.admission.GroupEvent.GrantRefused;
import io.coppershelf.admission.GroupEvent.ProbeEnded;
import io.coppershelf.admission.GroupEvent.ReachabilityReported;
import io.coppershelf.admission.GroupEvent.ServiceTimesReceived;
import io.coppershelf.admission.GroupEvent.Tick;
import io.coppershelf.admission.GroupStatus;
import io.coppershelf.admission.ServerGroupDecisions;
import io.coppershelf.backend.BackendResult.ServerState;
import io.coppershelf.bench.decisions.FakeServer.Answer;
import io.coppershelf.health.ServerCondition;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.outcome.Outcome;
import io.coppershelf.ticket.ServerSpec;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A VM that makes the decisions for some servers: delivers the events to them and performs their actions. */
final class GroupHost {
    private static final long TICK_NANOS = 50 * Units.MILLIS;
    private static final long SERVER_DELAY_NANOS = 150 * Units.MICROS;
    /** One-way delay to the VM that issues grants and to a VM that is queried for reachability. */
    private static final long PEER_DELAY_NANOS = 3 * Units.MILLIS;

    private static final long PROBE_ROUND_TRIP_NANOS = 25 * Units.MILLIS;
    private static final long PROBE_TIMEOUT_NANOS = 250 * Units.MILLIS;
    private static final long CANCEL_TIMEOUT_NANOS = 100 * Units.MILLIS;

    private final int index;
    private final ServerGroupDecisions decisions;
    private final ServiceSimulation simulation;
    private final Map<String, Attempt> openAttempts = new HashMap<>();
    private final Map<String, String> serverByAttempt = new HashMap<>();

    GroupHost(int index, ServerGroupDecisions decisions, ServiceSimulation simulation) {
        this.index = index;
        this.decisions = decisions;
        this.simulation = simulation;
    }

    /** Configures the decisions and starts the ticks. */
    void start(List<ServerSpec> servers) {
        deliver(new Configured(simulation.spec().service().spec(), servers));
        tick();
    }

    private void tick() {
        deliver(new Tick());
        simulation.time().after(TICK_NANOS, this::tickAfterPause);
    }

    private void tickAfterPause() {
        pausedUntil().ifPresentOrElse(until -> simulation.time().at(until, this::tick), this::tick);
    }

    private Optional<Long> pausedUntil() {
        return simulation.plan().pausedUntil(index, simulation.time().now());
    }

    /** Receives an attempt from an entry VM. */
    void accept(Attempt attempt) {
        KindProfile kind = attempt.request().kind();
        openAttempts.put(attempt.attemptId(), attempt);
        deliver(new AttemptArrived(
                attempt.attemptId(),
                kind.name(),
                kind.idempotent(),
                kind.weight(),
                attempt.request().deadlineNanos(),
                false));
    }

    private void deliver(GroupEvent event) {
        Optional<Long> paused = pausedUntil();
        if (paused.isPresent()) {
            simulation.time().at(paused.get(), () -> deliver(event));
            return;
        }
        for (GroupAction action : decisions.on(event, simulation.time().now())) {
            perform(action);
        }
    }

    private void perform(GroupAction action) {
        if (action instanceof Dispatch dispatch) {
            dispatch(dispatch);
        } else if (action instanceof Refuse refuse) {
            reply(refuse.attemptId(), Reply.notRun());
        } else if (action instanceof CancelOnServer cancel) {
            cancel(cancel);
        } else if (action instanceof RequestGrant request) {
            simulation.time().after(PEER_DELAY_NANOS, () -> requestGrant(request.server()));
        } else if (action instanceof ReleaseGrant release) {
            simulation.floor().release(release.server());
        } else if (action instanceof Probe probe) {
            probe(probe.server());
        } else if (action instanceof QueryReachability query) {
            simulation.time().after(PEER_DELAY_NANOS, () -> deliver(new ReachabilityReported(query.server(), true)));
        } else if (action instanceof ShareServiceTimes share) {
            simulation.shareServiceTimes(index, new ServiceTimesReceived("host-" + index, share.typicalNanos()));
        } else if (action instanceof ConditionChanged changed) {
            simulation.recordConditionChange(changed);
        }
    }

    private void dispatch(Dispatch dispatch) {
        Attempt attempt = openAttempts.get(dispatch.attemptId());
        long now = simulation.time().now();
        simulation.recorder().recordDispatch(dispatch.server(), condition(dispatch.server()), now);
        serverByAttempt.put(attempt.attemptId(), dispatch.server());
        FakeServer server = simulation.server(dispatch.server());
        simulation
                .time()
                .after(SERVER_DELAY_NANOS, () -> server.start(attempt, answer -> receiveAnswer(dispatch, answer)));
        simulation.time().at(attempt.request().deadlineNanos(), () -> endAtDeadline(dispatch));
    }

    private ServerCondition condition(String server) {
        return decisions.status(simulation.time().now()).servers().stream()
                .filter(status -> status.server().equals(server))
                .findFirst()
                .orElseThrow()
                .condition();
    }

    private void receiveAnswer(Dispatch dispatch, Answer answer) {
        if (!simulation.plan().isCut(dispatch.server(), simulation.time().now())) {
            simulation.time().after(SERVER_DELAY_NANOS, () -> end(dispatch.attemptId(), answer));
        }
    }

    private void endAtDeadline(Dispatch dispatch) {
        if (openAttempts.containsKey(dispatch.attemptId())) {
            simulation.server(dispatch.server()).cancel(dispatch.attemptId());
            end(dispatch.attemptId(), unknown());
        }
    }

    private void cancel(CancelOnServer cancel) {
        simulation
                .time()
                .after(
                        SERVER_DELAY_NANOS,
                        () -> simulation.server(cancel.server()).cancel(cancel.attemptId()));
        simulation.time().after(CANCEL_TIMEOUT_NANOS, () -> end(cancel.attemptId(), unknown()));
    }

    private static Answer unknown() {
        return new Answer(Optional.empty(), Optional.of(ErrorKind.DEADLINE_PASSED), ServerState.UNSTATED);
    }

    private void end(String attemptId, Answer answer) {
        Optional<Long> paused = pausedUntil();
        if (paused.isPresent()) {
            simulation.time().at(paused.get(), () -> end(attemptId, answer));
            return;
        }
        if (!openAttempts.containsKey(attemptId) || serverByAttempt.remove(attemptId) == null) {
            return;
        }
        answer.error()
                .filter(error -> error == ErrorKind.SERVER_REFUSED)
                .ifPresent(error -> simulation.recorder().recordShed());
        deliver(new AttemptEnded(attemptId, answer.status(), answer.error(), answer.state()));
        reply(attemptId, replyTo(answer));
    }

    private static Reply replyTo(Answer answer) {
        if (answer.status().isPresent()) {
            return Reply.answered(answer.status().get());
        }
        boolean notRun = answer.error().map(ErrorKind::outcome).orElse(Outcome.UNKNOWN) == Outcome.NOT_RUN;
        return notRun ? Reply.notRun() : Reply.unknown();
    }

    private void reply(String attemptId, Reply reply) {
        Attempt attempt = openAttempts.remove(attemptId);
        GroupStatus status = decisions.status(simulation.time().now());
        simulation.reply(index, attempt, reply, status);
    }

    private void requestGrant(String server) {
        long now = simulation.time().now();
        boolean granted = simulation.floor().request(server, now);
        GroupEvent result =
                granted ? new GrantReceived(server, now + FloorCounter.GRANT_NANOS) : new GrantRefused(server);
        simulation.time().after(PEER_DELAY_NANOS, () -> deliver(result));
    }

    private void probe(String server) {
        boolean cut = simulation.plan().isCut(server, simulation.time().now());
        Optional<ServerState> state = cut
                ? Optional.empty()
                : Optional.of(simulation
                        .plan()
                        .reportedState(server, simulation.time().now()));
        simulation
                .time()
                .after(
                        cut ? PROBE_TIMEOUT_NANOS : PROBE_ROUND_TRIP_NANOS,
                        () -> deliver(new ProbeEnded(server, state)));
    }

    /** Receives the typical service times of another host. */
    void receiveServiceTimes(ServiceTimesReceived serviceTimes) {
        deliver(serviceTimes);
    }
}
