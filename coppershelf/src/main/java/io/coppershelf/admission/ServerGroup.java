package io.coppershelf.admission;

import io.coppershelf.admission.GroupAction.CancelOnServer;
import io.coppershelf.admission.GroupAction.Dispatch;
import io.coppershelf.admission.GroupAction.Refuse;
import io.coppershelf.admission.GroupEvent.AttemptEnded;
import io.coppershelf.admission.GroupEvent.Configured;
import io.coppershelf.admission.GroupEvent.EjectionGranted;
import io.coppershelf.admission.GroupEvent.EjectionRevoked;
import io.coppershelf.admission.GroupEvent.ProbeEnded;
import io.coppershelf.admission.GroupEvent.ReachabilityReported;
import io.coppershelf.admission.GroupEvent.RequestArrived;
import io.coppershelf.admission.GroupEvent.RequestCancelled;
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
 * The decisions of the owner of a server group: exact slots, a queue by deadline, early refusal of the least weighted
 * kinds, and the health of the servers.
 *
 * <pre>{@code
 * ServerGroup group = ServerGroup.create(new GroupName("rotavis", "herning"), new Random(seed));
 * group.on(new GroupEvent.Configured(service, servers), now);
 * List<GroupAction> actions = group.on(new GroupEvent.RequestArrived(...), now);
 * }</pre>
 */
public final class ServerGroup implements ServerGroupDecisions {
    /** A probation try must have this multiple of its usual time left, so that it can be run again elsewhere. */
    private static final int TRIAL_SLACK = 10;
    /** A try goes to a suspected server once it has less than this multiple of the time that it needs elsewhere. */
    private static final int SUSPECTED_SLACK = 2;

    private final GroupName name;
    private final SlotTable slots = new SlotTable();
    private final DeadlineQueue queue = new DeadlineQueue();
    private final MeanServiceTimes serviceTimes = new MeanServiceTimes();
    private final AdmissionControl admission = new AdmissionControl(queue, serviceTimes);
    private final ShedBackoff backoff = new ShedBackoff();
    private final Map<String, ServerSpec> servers = new TreeMap<>();
    private final ActionCollector actions = new ActionCollector();
    private final RetryAfterEstimate retryAfter;
    private final GroupHealth health;
    private final LeastLoadedSelector choice;

    private ServerGroup(GroupName name, RandomGenerator random, Function<ServiceSpec, HealthPolicy> policies) {
        this.name = name;
        this.retryAfter = new RetryAfterEstimate(random);
        this.health = new GroupHealth(policies, actions);
        this.choice = new LeastLoadedSelector(slots, health, backoff, random);
    }

    /** Returns the decisions for the group, without servers yet. */
    public static ServerGroup create(GroupName name, RandomGenerator random) {
        return create(name, random, service -> HealthPolicy.forDetectionWeight(service.detectionWeight()));
    }

    /** Returns the decisions for the group with other limits of evidence. */
    public static ServerGroup create(
            GroupName name, RandomGenerator random, Function<ServiceSpec, HealthPolicy> policies) {
        return new ServerGroup(name, random, policies);
    }

    @Override
    public List<GroupAction> on(GroupEvent event, long nowNanos) {
        health.advance(nowNanos);
        if (event instanceof RequestArrived request) {
            arrive(request, nowNanos);
        } else if (event instanceof AttemptEnded ended) {
            end(ended, nowNanos);
        } else if (event instanceof Tick) {
            health.tick(nowNanos);
            refuseHopeless(nowNanos);
        } else if (event instanceof RequestCancelled cancelled) {
            cancel(cancelled.attemptId());
        } else if (event instanceof Configured configured) {
            configure(configured, nowNanos);
        } else {
            tellHealth(event, nowNanos);
        }
        dispatchWaiting(nowNanos);
        return actions.takeAll();
    }

    private void tellHealth(GroupEvent event, long nowNanos) {
        if (event instanceof ProbeEnded probe) {
            health.probeEnded(probe.server(), probe.state(), nowNanos);
        } else if (event instanceof ServiceTimesReceived heard) {
            health.serviceTimesReceived(heard.sender(), heard.typicalNanos(), nowNanos);
        } else if (event instanceof ReachabilityReported heard) {
            health.reachabilityReported(heard.server(), heard.reachable(), nowNanos);
        } else if (event instanceof EjectionGranted granted) {
            health.ejectionGranted(granted.server(), granted.untilNanos(), nowNanos);
        } else if (event instanceof EjectionRevoked revoked) {
            health.ejectionRevoked(revoked.server(), nowNanos);
        }
    }

    private void configure(Configured configured, long nowNanos) {
        servers.clear();
        configured.servers().forEach(server -> servers.put(server.name(), server));
        health.configure(configured.service(), configured.servers(), nowNanos);
    }

    private void arrive(RequestArrived request, long nowNanos) {
        WaitEstimate estimate = estimate(nowNanos);
        boolean admitted = request.hedge()
                ? queue.isEmpty()
                        && choice.selectUnsuspected(servers.values(), nowNanos).isPresent()
                : admission.admits(request, estimate, nowNanos);
        retryAfter.recordDecision(admitted);
        if (admitted) {
            queue.add(new QueuedAttempt(request, serviceTimes.meanNanos(request.route())));
            return;
        }
        ErrorKind error = estimate.slots() == 0 ? ErrorKind.NO_SERVER : ErrorKind.OVERLOADED;
        actions.add(new Refuse(request.attemptId(), error, retryAfter.retryAfter(expectedWaitNanos(estimate))));
    }

    private void refuseHopeless(long nowNanos) {
        WaitEstimate estimate = choice.largestEstimate(servers.values(), serviceTimes, nowNanos);
        for (QueuedAttempt hopeless : QueueShedder.selectAttempts(queue, estimate, nowNanos)) {
            queue.remove(hopeless.attemptId());
            Duration delay = retryAfter.retryAfter(expectedWaitNanos(estimate));
            actions.add(new Refuse(hopeless.attemptId(), ErrorKind.OVERLOADED, delay));
        }
    }

    private void cancel(String attemptId) {
        queue.remove(attemptId)
                .ifPresent(waiting -> actions.add(new Refuse(attemptId, ErrorKind.DEADLINE_BEFORE_RUN, Duration.ZERO)));
        slots.find(attemptId).ifPresent(running -> actions.add(new CancelOnServer(attemptId, running.server())));
    }

    private void end(AttemptEnded ended, long nowNanos) {
        Optional<RunningAttempt> running = slots.release(ended.attemptId());
        if (running.isEmpty()) {
            return;
        }
        RunningAttempt done = running.get();
        AttemptEnd end = AttemptEndClassifier.classify(ended);
        if (end == AttemptEnd.ANSWERED) {
            backoff.recordSuccess(done.server());
            serviceTimes.record(done.request().route(), health.observedNanos() - done.dispatchedNanos());
        } else if (end == AttemptEnd.REFUSED) {
            backoff.recordRefusal(done.server(), nowNanos);
        }
        health.ended(ended.attemptId(), done.server(), end, ended.serverState(), nowNanos);
    }

    private void dispatchWaiting(long nowNanos) {
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

    private boolean isTooLate(QueuedAttempt waiting, long nowNanos) {
        return waiting.slackNanos(nowNanos) < waiting.expectedNanos() / 2;
    }

    private Optional<String> serverFor(QueuedAttempt waiting, long nowNanos) {
        Optional<String> best = choice.selectUnsuspected(servers.values(), nowNanos);
        if (best.isPresent() || waiting.request().hedge() || canWait(waiting, nowNanos)) {
            return best;
        }
        return choice.selectSuspected(servers.values(), nowNanos);
    }

    private boolean canWait(QueuedAttempt waiting, long nowNanos) {
        WaitEstimate estimate = estimate(nowNanos);
        long needed = estimate.waitNanos(queue, 0) + waiting.expectedNanos();
        return choice.hasUnsuspected(servers.values(), nowNanos)
                && waiting.slackNanos(nowNanos) >= SUSPECTED_SLACK * needed;
    }

    private void dispatchTrial(long nowNanos) {
        if (queue.isEmpty()) {
            return;
        }
        health.findServerDueForTrial(nowNanos)
                .filter(server -> slots.inFlight(server) < servers.get(server).slots())
                .ifPresent(server -> queue.removeFirst(waiting -> isFitForTrial(waiting, nowNanos))
                        .ifPresent(waiting -> dispatch(waiting, server, nowNanos)));
    }

    private boolean isFitForTrial(QueuedAttempt waiting, long nowNanos) {
        return waiting.request().idempotent()
                && !waiting.request().hedge()
                && waiting.slackNanos(nowNanos) >= TRIAL_SLACK * waiting.expectedNanos();
    }

    private void dispatch(QueuedAttempt waiting, String server, long nowNanos) {
        RequestArrived request = waiting.request();
        slots.occupy(new RunningAttempt(request, server, health.observedNanos()));
        health.dispatched(request.attemptId(), server, request.route(), request.idempotent(), nowNanos);
        actions.add(new Dispatch(request.attemptId(), server));
    }

    private WaitEstimate estimate(long nowNanos) {
        return choice.estimate(servers.values(), serviceTimes, nowNanos);
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
