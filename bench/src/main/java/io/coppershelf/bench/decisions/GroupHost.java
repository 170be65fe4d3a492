package io.coppershelf.bench.decisions;

import io.coppershelf.admission.GroupAction;
import io.coppershelf.admission.GroupAction.CancelOnServer;
import io.coppershelf.admission.GroupAction.ConditionChanged;
import io.coppershelf.admission.GroupAction.Dispatch;
import io.coppershelf.admission.GroupAction.Probe;
import io.coppershelf.admission.GroupAction.QueryReachability;
import io.coppershelf.admission.GroupAction.Refuse;
import io.coppershelf.admission.GroupAction.ReleaseEjection;
import io.coppershelf.admission.GroupAction.RequestEjection;
import io.coppershelf.admission.GroupAction.ShareServiceTimes;
import io.coppershelf.admission.GroupEvent;
import io.coppershelf.admission.GroupEvent.AttemptEnded;
import io.coppershelf.admission.GroupEvent.Configured;
import io.coppershelf.admission.GroupEvent.EjectionGranted;
import io.coppershelf.admission.GroupEvent.EjectionRefused;
import io.coppershelf.admission.GroupEvent.ProbeEnded;
import io.coppershelf.admission.GroupEvent.ReachabilityReported;
import io.coppershelf.admission.GroupEvent.RequestArrived;
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

/** A VM that decides for some servers: drives the decisions and carries out what they want. */
final class GroupHost {
    private static final long TICK = 50 * Units.MILLIS;
    private static final long TO_SERVER = 150 * Units.MICROS;
    private static final long TO_GRANTER = 3 * Units.MILLIS;
    private static final long PROBE = 25 * Units.MILLIS;
    private static final long PROBE_LIMIT = 250 * Units.MILLIS;
    private static final long CANCEL_LIMIT = 100 * Units.MILLIS;

    private final int index;
    private final ServerGroupDecisions decisions;
    private final ServiceSimulation world;
    private final Map<String, Attempt> open = new HashMap<>();
    private final Map<String, String> serverByTry = new HashMap<>();

    GroupHost(int index, ServerGroupDecisions decisions, ServiceSimulation world) {
        this.index = index;
        this.decisions = decisions;
        this.world = world;
    }

    /** Configures the decisions and begins to tick. */
    void start(List<ServerSpec> servers) {
        deliver(new Configured(world.spec().service().spec(), servers));
        tick();
    }

    private void tick() {
        deliver(new Tick());
        world.time().after(TICK, this::tickOnceAwake);
    }

    private void tickOnceAwake() {
        pausedUntil().ifPresentOrElse(until -> world.time().at(until, this::tick), this::tick);
    }

    private Optional<Long> pausedUntil() {
        return world.plan().pausedUntil(index, world.time().now());
    }

    /** Takes a try of an entry VM. */
    void accept(Attempt attempt) {
        KindProfile kind = attempt.request().kind();
        open.put(attempt.attemptId(), attempt);
        deliver(new RequestArrived(
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
            world.time().at(paused.get(), () -> deliver(event));
            return;
        }
        for (GroupAction action : decisions.on(event, world.time().now())) {
            carryOut(action);
        }
    }

    private void carryOut(GroupAction action) {
        if (action instanceof Dispatch dispatch) {
            dispatch(dispatch);
        } else if (action instanceof Refuse refuse) {
            reply(refuse.attemptId(), Reply.notRun());
        } else if (action instanceof CancelOnServer cancel) {
            cancel(cancel);
        } else if (action instanceof RequestEjection ask) {
            world.time().after(TO_GRANTER, () -> askFloor(ask.server()));
        } else if (action instanceof ReleaseEjection release) {
            world.floor().release(release.server());
        } else if (action instanceof Probe probe) {
            probe(probe.server());
        } else if (action instanceof QueryReachability ask) {
            world.time().after(TO_GRANTER, () -> deliver(new ReachabilityReported(ask.server(), true)));
        } else if (action instanceof ShareServiceTimes share) {
            world.shareBaseline(index, new ServiceTimesReceived("host-" + index, share.typicalNanos()));
        } else if (action instanceof ConditionChanged changed) {
            world.conditionChanged(changed);
        }
    }

    private void dispatch(Dispatch dispatch) {
        Attempt attempt = open.get(dispatch.attemptId());
        long now = world.time().now();
        world.recorder().recordDispatch(dispatch.server(), condition(dispatch.server()), now);
        serverByTry.put(attempt.attemptId(), dispatch.server());
        FakeServer server = world.server(dispatch.server());
        world.time().after(TO_SERVER, () -> server.start(attempt, answer -> answered(dispatch, answer)));
        world.time().at(attempt.request().deadlineNanos(), () -> giveUp(dispatch));
    }

    private ServerCondition condition(String server) {
        return decisions.status(world.time().now()).servers().stream()
                .filter(status -> status.server().equals(server))
                .findFirst()
                .orElseThrow()
                .condition();
    }

    private void answered(Dispatch dispatch, Answer answer) {
        if (!world.plan().isCut(dispatch.server(), world.time().now())) {
            world.time().after(TO_SERVER, () -> end(dispatch.attemptId(), answer));
        }
    }

    private void giveUp(Dispatch dispatch) {
        if (open.containsKey(dispatch.attemptId())) {
            world.server(dispatch.server()).cancel(dispatch.attemptId());
            end(dispatch.attemptId(), unknown());
        }
    }

    private void cancel(CancelOnServer cancel) {
        world.time().after(TO_SERVER, () -> world.server(cancel.server()).cancel(cancel.attemptId()));
        world.time().after(CANCEL_LIMIT, () -> end(cancel.attemptId(), unknown()));
    }

    private static Answer unknown() {
        return new Answer(Optional.empty(), Optional.of(ErrorKind.DEADLINE_PASSED), ServerState.UNSTATED);
    }

    private void end(String attemptId, Answer answer) {
        Optional<Long> paused = pausedUntil();
        if (paused.isPresent()) {
            world.time().at(paused.get(), () -> end(attemptId, answer));
            return;
        }
        if (!open.containsKey(attemptId) || serverByTry.remove(attemptId) == null) {
            return;
        }
        answer.error()
                .filter(error -> error == ErrorKind.SERVER_REFUSED)
                .ifPresent(error -> world.recorder().recordShed());
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
        Attempt attempt = open.remove(attemptId);
        GroupStatus status = decisions.status(world.time().now());
        world.reply(index, attempt, reply, status);
    }

    private void askFloor(String server) {
        long now = world.time().now();
        boolean granted = world.floor().request(server, now);
        GroupEvent verdict =
                granted ? new EjectionGranted(server, now + FloorCounter.RIGHT) : new EjectionRefused(server);
        world.time().after(TO_GRANTER, () -> deliver(verdict));
    }

    private void probe(String server) {
        boolean cut = world.plan().isCut(server, world.time().now());
        Optional<ServerState> state = cut
                ? Optional.empty()
                : Optional.of(world.plan().reportedState(server, world.time().now()));
        world.time().after(cut ? PROBE_LIMIT : PROBE, () -> deliver(new ProbeEnded(server, state)));
    }

    /** Takes in the usual times of another host. */
    void receiveServiceTimes(ServiceTimesReceived heard) {
        deliver(heard);
    }
}
