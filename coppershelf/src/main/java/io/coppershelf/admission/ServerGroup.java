package io.coppershelf.admission;

import io.coppershelf.admission.GroupAction.CancelOnServer;
import io.coppershelf.admission.GroupAction.ConditionChanged;
import io.coppershelf.admission.GroupAction.Dispatch;
import io.coppershelf.admission.GroupAction.Refuse;
import io.coppershelf.admission.GroupEvent.Configured;
import io.coppershelf.admission.GroupEvent.RequestArrived;
import io.coppershelf.admission.GroupEvent.RequestCancelled;
import io.coppershelf.admission.GroupEvent.TryEnded;
import io.coppershelf.admission.GroupStatus.ServerStatus;
import io.coppershelf.admission.internal.DeadlineQueue;
import io.coppershelf.admission.internal.RunningTry;
import io.coppershelf.admission.internal.ServiceTimes;
import io.coppershelf.admission.internal.SlotTable;
import io.coppershelf.admission.internal.WaitingTry;
import io.coppershelf.backend.BackendResult.ServerState;
import io.coppershelf.health.ServerCondition;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.ticket.ServerSpec;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/** The decisions of the owner of a server group: exact slots, a queue by deadline, early refusal. */
public final class ServerGroup implements ServerGroupDecisions {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final GroupName name;
    private final RandomGenerator random;
    private final SlotTable slots = new SlotTable();
    private final DeadlineQueue queue = new DeadlineQueue();
    private final ServiceTimes serviceTimes = new ServiceTimes();
    private final Map<String, ServerSpec> servers = new TreeMap<>();
    private final Set<String> draining = new HashSet<>();

    private ServerGroup(GroupName name, RandomGenerator random) {
        this.name = name;
        this.random = random;
    }

    /** Returns the decisions for the group, without servers yet. */
    public static ServerGroup create(GroupName name, RandomGenerator random) {
        return new ServerGroup(name, random);
    }

    @Override
    public List<GroupAction> on(GroupEvent event, long nowNanos) {
        List<GroupAction> actions = new ArrayList<>();
        if (event instanceof Configured configured) {
            configure(configured, actions);
        } else if (event instanceof RequestArrived request) {
            arrive(request, nowNanos, actions);
        } else if (event instanceof RequestCancelled cancelled) {
            cancel(cancelled.tryId(), actions);
        } else if (event instanceof TryEnded ended) {
            end(ended, nowNanos, actions);
        }
        dispatchWaiting(nowNanos, actions);
        return actions;
    }

    private void configure(Configured configured, List<GroupAction> actions) {
        servers.clear();
        configured.servers().forEach(server -> servers.put(server.name(), server));
        draining.retainAll(servers.keySet());
        for (ServerSpec server : configured.servers()) {
            if (server.draining()) {
                drain(server.name(), "ticket", actions);
            } else if (draining.remove(server.name())) {
                actions.add(new ConditionChanged(
                        server.name(), ServerCondition.DRAINING, ServerCondition.IN_SERVICE, "ticket"));
            }
        }
    }

    private void drain(String server, String reason, List<GroupAction> actions) {
        if (draining.add(server)) {
            actions.add(new ConditionChanged(server, ServerCondition.IN_SERVICE, ServerCondition.DRAINING, reason));
        }
    }

    private void arrive(RequestArrived request, long nowNanos, List<GroupAction> actions) {
        WaitingTry waiting = new WaitingTry(request, nowNanos);
        if (request.hedge() && freeServer().isEmpty()) {
            actions.add(new Refuse(request.tryId(), ErrorKind.OVERLOADED, RETRY_AFTER));
            return;
        }
        if (!canFinish(waiting, nowNanos)) {
            ErrorKind error = usableSlots() == 0 ? ErrorKind.NO_SERVER : ErrorKind.OVERLOADED;
            actions.add(new Refuse(request.tryId(), error, RETRY_AFTER));
            return;
        }
        queue.add(waiting);
    }

    private boolean canFinish(WaitingTry waiting, long nowNanos) {
        if (usableSlots() == 0) {
            return false;
        }
        int ahead = queue.insertionIndex(waiting.request().deadlineNanos());
        long needed = expectedWaitNanos(ahead)
                + serviceTimes.meanNanos(waiting.request().route());
        return needed <= waiting.slackNanos(nowNanos);
    }

    private long expectedWaitNanos(int ahead) {
        if (usableSlots() == 0 || (ahead == 0 && freeSlots() > 0)) {
            return 0;
        }
        long work = 0;
        for (WaitingTry waiting : queue.tries().subList(0, ahead)) {
            work += serviceTimes.meanNanos(waiting.request().route());
        }
        return work / usableSlots();
    }

    private void cancel(String tryId, List<GroupAction> actions) {
        queue.remove(tryId)
                .ifPresent(waiting -> actions.add(new Refuse(tryId, ErrorKind.DEADLINE_BEFORE_RUN, Duration.ZERO)));
        slots.find(tryId).ifPresent(running -> actions.add(new CancelOnServer(tryId, running.server())));
    }

    private void end(TryEnded ended, long nowNanos, List<GroupAction> actions) {
        Optional<RunningTry> running = slots.free(ended.tryId());
        if (running.isEmpty()) {
            return;
        }
        RunningTry done = running.get();
        if (ended.status().isPresent()) {
            serviceTimes.record(done.request().route(), nowNanos - done.dispatchedNanos());
        }
        if (ended.serverState() == ServerState.DRAINING && servers.containsKey(done.server())) {
            drain(done.server(), "server", actions);
        }
    }

    private void dispatchWaiting(long nowNanos, List<GroupAction> actions) {
        while (!queue.isEmpty()) {
            WaitingTry first = queue.tries().get(0);
            if (first.slackNanos(nowNanos) <= 0) {
                queue.remove(first.tryId());
                actions.add(new Refuse(first.tryId(), ErrorKind.DEADLINE_BEFORE_RUN, Duration.ZERO));
                continue;
            }
            Optional<String> server = freeServer();
            if (server.isEmpty()) {
                return;
            }
            queue.remove(first.tryId());
            slots.take(new RunningTry(first.request(), server.get(), nowNanos));
            actions.add(new Dispatch(first.tryId(), server.get()));
        }
    }

    private Optional<String> freeServer() {
        double best = 1.0;
        int ties = 0;
        Optional<String> choice = Optional.empty();
        for (ServerSpec server : servers.values()) {
            double load = (double) slots.inFlight(server.name()) / Math.max(1, server.slots());
            if (!isUsable(server) || load >= 1.0 || load > best) {
                continue;
            }
            ties = load < best ? 1 : ties + 1;
            if (load < best || random.nextInt(ties) == 0) {
                choice = Optional.of(server.name());
            }
            best = load;
        }
        return choice;
    }

    private boolean isUsable(ServerSpec server) {
        return !draining.contains(server.name());
    }

    private int usableSlots() {
        return servers.values().stream()
                .filter(this::isUsable)
                .mapToInt(ServerSpec::slots)
                .sum();
    }

    private int freeSlots() {
        return servers.values().stream()
                .filter(this::isUsable)
                .mapToInt(server -> Math.max(0, server.slots() - slots.inFlight(server.name())))
                .sum();
    }

    @Override
    public GroupStatus status(long nowNanos) {
        List<ServerStatus> statuses = servers.values().stream()
                .map(server -> new ServerStatus(
                        server.name(),
                        draining.contains(server.name()) ? ServerCondition.DRAINING : ServerCondition.IN_SERVICE,
                        draining.contains(server.name()) ? "draining" : "",
                        slots.inFlight(server.name()),
                        server.slots()))
                .toList();
        return new GroupStatus(freeSlots(), queue.size(), expectedWaitNanos(queue.size()), statuses);
    }

    @Override
    public String toString() {
        return "ServerGroup[" + name + "]";
    }
}
