package io.coppershelf.admission;

import io.coppershelf.admission.GroupAction.CancelOnServer;
import io.coppershelf.admission.GroupAction.Dispatch;
import io.coppershelf.admission.GroupAction.Refuse;
import io.coppershelf.admission.GroupEvent.AttemptArrived;
import io.coppershelf.admission.GroupEvent.AttemptCancelled;
import io.coppershelf.admission.GroupEvent.AttemptEnded;
import io.coppershelf.admission.GroupEvent.Configured;
import io.coppershelf.admission.GroupEvent.GrantReceived;
import io.coppershelf.admission.GroupEvent.GrantRevoked;
import io.coppershelf.admission.GroupEvent.ProbeEnded;
import io.coppershelf.admission.GroupEvent.ReachabilityReported;
import io.coppershelf.admission.GroupEvent.ServiceTimesReceived;
import io.coppershelf.admission.GroupEvent.Tick;
import io.coppershelf.admission.GroupStatus.ServerStatus;
import io.coppershelf.admission.internal.ActionCollector;
import io.coppershelf.admission.internal.AdmissionControl;
import io.coppershelf.admission.internal.AttemptEndClassifier;
import io.coppershelf.admission.internal.DeadlineQueue;
import io.coppershelf.admission.internal.LeastLoadedSelector;
import io.coppershelf.admission.internal.MeanServiceTimes;
import io.coppershelf.admission.internal.QueueShedder;
import io.coppershelf.admission.internal.QueuedAttempt;
import io.coppershelf.admission.internal.RetryAfterEstimate;
import io.coppershelf.admission.internal.RunningAttempt;
import io.coppershelf.admission.internal.ShedBackoff;
import io.coppershelf.admission.internal.SlotTable;
import io.coppershelf.admission.internal.WaitEstimate;
import io.coppershelf.health.AttemptEnd;
import io.coppershelf.health.GroupHealth;
import io.coppershelf.health.HealthPolicy;
import io.coppershelf.health.ServerCondition;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.ticket.ServerSpec;
import io.coppershelf.ticket.ServiceSpec;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * The decisions of the owner of a server group: exact slot counts, a queue ordered by deadline, early refusal of the
 * requests with the lowest weight, and the health of the servers.
 *
 * <pre>{@code
 * ServerGroup group = ServerGroup.create(new GroupName("rotavis", "herning"), new Random(seed));
 * group.on(new GroupEvent.Configured(service, servers), now);
 * List<GroupAction> actions = group.on(new GroupEvent.AttemptArrived(...), now);
 * }</pre>
 */
public final class ServerGroup implements ServerGroupDecisions {
    /** A trial request must have this multiple of its expected time left, so that it can be retried elsewhere. */
    private static final int TRIAL_SLACK_FACTOR = 10;
    /**
     * An attempt is sent to a suspected server once the time left is less than this multiple of the time that it needs
     * elsewhere.
     */
    private static final int SUSPECTED_SLACK_FACTOR = 2;

    private final GroupName name;
    private final SlotTable slots = new SlotTable();
    private final DeadlineQueue queue = new DeadlineQueue();
    private final MeanServiceTimes serviceTimes = new MeanServiceTimes();
    private final AdmissionControl admission = new AdmissionControl(queue, serviceTimes);
    private final ShedBackoff backoff = new ShedBackoff();
    private final Map<String, ServerSpec> servers = new TreeMap<>();
    private final ActionCollector actions = new ActionCollector();
    private final RetryAfterEstimate retryAfterEstimate;
    private final GroupHealth health;
    private final LeastLoadedSelector selector;

    private ServerGroup(GroupName name, RandomGenerator random, Function<ServiceSpec, HealthPolicy> policies) {
        this.name = name;
        this.retryAfterEstimate = new RetryAfterEstimate(random);
        this.health = new GroupHealth(policies, actions);
        this.selector = new LeastLoadedSelector(slots, health, backoff, random);
    }

    /** Creates the decisions for the group, without servers yet. */
    public static ServerGroup create(GroupName name, RandomGenerator random) {
        return create(name, random, service -> HealthPolicy.forDetectionWeight(service.detectionWeight()));
    }

    /** Creates the decisions for the group with the given evidence thresholds. */
    public static ServerGroup create(
            GroupName name, RandomGenerator random, Function<ServiceSpec, HealthPolicy> policies) {
        return new ServerGroup(name, random, policies);
    }

    @Override
    public List<GroupAction> on(GroupEvent event, long nowNanos) {
        health.advance(nowNanos);
        if (event instanceof AttemptArrived attempt) {
            handleArrival(attempt, nowNanos);
        } else if (event instanceof AttemptEnded ended) {
            handleEnd(ended, nowNanos);
        } else if (event instanceof Tick) {
            health.tick(nowNanos);
            shedQueue(nowNanos);
        } else if (event instanceof AttemptCancelled cancelled) {
            cancel(cancelled.attemptId());
        } else if (event instanceof Configured configured) {
            configure(configured, nowNanos);
        } else {
            updateHealth(event, nowNanos);
        }
        dispatchQueued(nowNanos);
        return actions.removeAll();
    }

    private void updateHealth(GroupEvent event, long nowNanos) {
        if (event instanceof ProbeEnded probe) {
            health.probeEnded(probe.server(), probe.state(), nowNanos);
        } else if (event instanceof ServiceTimesReceived message) {
            health.serviceTimesReceived(message.sender(), message.typicalNanos(), nowNanos);
        } else if (event instanceof ReachabilityReported report) {
            health.reachabilityReported(report.server(), report.reachable(), nowNanos);
        } else if (event instanceof GrantReceived granted) {
            health.grantReceived(granted.server(), granted.untilNanos(), nowNanos);
        } else if (event instanceof GrantRevoked revoked) {
            health.grantRevoked(revoked.server(), nowNanos);
        }
    }

    private void configure(Configured configured, long nowNanos) {
        servers.clear();
        configured.servers().forEach(server -> servers.put(server.name(), server));
        health.configure(configured.service(), configured.servers(), nowNanos);
    }

    private void handleArrival(AttemptArrived attempt, long nowNanos) {
        WaitEstimate estimate = estimate(nowNanos);
        boolean admitted = attempt.hedge()
                ? queue.isEmpty()
                        && selector.selectUnsuspected(servers.values(), nowNanos)
                                .isPresent()
                : admission.admits(attempt, estimate, nowNanos);
        retryAfterEstimate.recordDecision(admitted);
        if (admitted) {
            queue.add(new QueuedAttempt(attempt, serviceTimes.meanNanos(attempt.route())));
            return;
        }
        ErrorKind error = estimate.slots() == 0 ? ErrorKind.NO_SERVER : ErrorKind.OVERLOADED;
        actions.add(new Refuse(attempt.attemptId(), error, retryAfterEstimate.retryAfter(expectedWaitNanos(estimate))));
    }

    private void shedQueue(long nowNanos) {
        WaitEstimate estimate = selector.estimateWithSuspected(servers.values(), serviceTimes, nowNanos);
        for (QueuedAttempt shed : QueueShedder.selectAttempts(queue, estimate, nowNanos)) {
            queue.remove(shed.attemptId());
            Duration delay = retryAfterEstimate.retryAfter(expectedWaitNanos(estimate));
            actions.add(new Refuse(shed.attemptId(), ErrorKind.OVERLOADED, delay));
        }
    }

    private void cancel(String attemptId) {
        queue.remove(attemptId)
                .ifPresent(queued -> actions.add(new Refuse(attemptId, ErrorKind.DEADLINE_BEFORE_RUN, Duration.ZERO)));
        slots.find(attemptId).ifPresent(running -> actions.add(new CancelOnServer(attemptId, running.server())));
    }

    private void handleEnd(AttemptEnded ended, long nowNanos) {
        Optional<RunningAttempt> running = slots.release(ended.attemptId());
        if (running.isEmpty()) {
            return;
        }
        RunningAttempt attempt = running.get();
        AttemptEnd end = AttemptEndClassifier.classify(ended);
        if (end == AttemptEnd.ANSWERED) {
            backoff.recordSuccess(attempt.server());
            serviceTimes.record(attempt.arrival().route(), health.observedNanos() - attempt.dispatchedNanos());
        } else if (end == AttemptEnd.REFUSED) {
            backoff.recordRefusal(attempt.server(), nowNanos);
        }
        health.ended(ended.attemptId(), attempt.server(), end, ended.serverState(), nowNanos);
    }

    private void dispatchQueued(long nowNanos) {
        dispatchTrial(nowNanos);
        while (!queue.isEmpty()) {
            QueuedAttempt first = queue.attempts().get(0);
            if (isTooLate(first, nowNanos)) {
                queue.remove(first.attemptId());
                actions.add(new Refuse(first.attemptId(), ErrorKind.DEADLINE_BEFORE_RUN, Duration.ZERO));
                continue;
            }
            Optional<String> server = serverFor(first, nowNanos);
            if (server.isEmpty()) {
                return;
            }
            queue.remove(first.attemptId());
            dispatch(first, server.get(), nowNanos);
        }
    }

    private boolean isTooLate(QueuedAttempt queued, long nowNanos) {
        return queued.slackNanos(nowNanos) < queued.expectedNanos() / 2;
    }

    private Optional<String> serverFor(QueuedAttempt queued, long nowNanos) {
        Optional<String> best = selector.selectUnsuspected(servers.values(), nowNanos);
        if (best.isPresent() || queued.arrival().hedge() || canStayQueued(queued, nowNanos)) {
            return best;
        }
        return selector.selectSuspected(servers.values(), nowNanos);
    }

    private boolean canStayQueued(QueuedAttempt queued, long nowNanos) {
        WaitEstimate estimate = estimate(nowNanos);
        long needed = estimate.waitNanos(queue, 0) + queued.expectedNanos();
        return selector.hasUnsuspected(servers.values(), nowNanos)
                && queued.slackNanos(nowNanos) >= SUSPECTED_SLACK_FACTOR * needed;
    }

    private void dispatchTrial(long nowNanos) {
        if (queue.isEmpty()) {
            return;
        }
        health.findServerDueForTrial(nowNanos)
                .filter(server -> slots.inFlight(server) < servers.get(server).slots())
                .ifPresent(server -> queue.removeFirst(queued -> isFitForTrial(queued, nowNanos))
                        .ifPresent(queued -> dispatch(queued, server, nowNanos)));
    }

    private boolean isFitForTrial(QueuedAttempt queued, long nowNanos) {
        return queued.arrival().idempotent()
                && !queued.arrival().hedge()
                && queued.slackNanos(nowNanos) >= TRIAL_SLACK_FACTOR * queued.expectedNanos();
    }

    private void dispatch(QueuedAttempt queued, String server, long nowNanos) {
        AttemptArrived attempt = queued.arrival();
        slots.occupy(new RunningAttempt(attempt, server, health.observedNanos()));
        health.dispatched(attempt.attemptId(), server, attempt.route(), attempt.idempotent(), nowNanos);
        actions.add(new Dispatch(attempt.attemptId(), server));
    }

    private WaitEstimate estimate(long nowNanos) {
        return selector.estimate(servers.values(), serviceTimes, nowNanos);
    }

    private long expectedWaitNanos(WaitEstimate estimate) {
        return estimate.waitNanos(queue, queue.size());
    }

    @Override
    public GroupStatus status(long nowNanos) {
        WaitEstimate estimate = estimate(nowNanos);
        List<ServerStatus> statuses =
                servers.values().stream().map(this::status).toList();
        return new GroupStatus(estimate.free(), queue.size(), expectedWaitNanos(estimate), statuses);
    }

    private ServerStatus status(ServerSpec server) {
        ServerCondition condition = health.condition(server.name());
        return new ServerStatus(
                server.name(), condition, health.reason(server.name()), slots.inFlight(server.name()), server.slots());
    }

    @Override
    public String toString() {
        return "ServerGroup[" + name.service() + "/" + name.dataCentre() + "]";
    }
}
