package io.coppershelf.bench.decisions.baseline;

import io.coppershelf.admission.GroupAction;
import io.coppershelf.admission.GroupAction.ConditionChanged;
import io.coppershelf.admission.GroupAction.Dispatch;
import io.coppershelf.admission.GroupAction.Probe;
import io.coppershelf.admission.GroupAction.Refuse;
import io.coppershelf.admission.GroupEvent;
import io.coppershelf.admission.GroupEvent.AttemptArrived;
import io.coppershelf.admission.GroupEvent.AttemptEnded;
import io.coppershelf.admission.GroupEvent.Configured;
import io.coppershelf.admission.GroupEvent.ProbeEnded;
import io.coppershelf.admission.GroupEvent.Tick;
import io.coppershelf.admission.GroupStatus;
import io.coppershelf.admission.GroupStatus.ServerStatus;
import io.coppershelf.admission.ServerGroupDecisions;
import io.coppershelf.backend.BackendResult.ServerState;
import io.coppershelf.health.ServerCondition;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.ticket.ServerSpec;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A server group without health estimates: a first-in, first-out queue, a picker and a detector. */
public final class BaselineGroup implements ServerGroupDecisions {
    private static final long PROBE_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int SERVER_ERROR = 500;

    private final Picker picker;
    private final Detector detector;
    private final boolean enforcesSlots;
    private final Deque<AttemptArrived> queue = new ArrayDeque<>();
    private final Map<String, ServerSpec> servers = new TreeMap<>();
    private final Map<String, String> serverByAttempt = new HashMap<>();
    private final Map<String, Integer> inFlight = new HashMap<>();
    private final Set<String> draining = new HashSet<>();
    private Set<String> ejected = Set.of();
    private long lastProbeNanos;

    private BaselineGroup(Picker picker, Detector detector, boolean enforcesSlots) {
        this.picker = picker;
        this.detector = detector;
        this.enforcesSlots = enforcesSlots;
    }

    /** Returns a group whose owner enforces the slots of its servers and picks the least loaded server. */
    public static BaselineGroup exact(Detector detector) {
        return new BaselineGroup(new LeastLoaded(), detector, true);
    }

    /** Returns a group of one VM that has figures only of its own attempts and therefore doesn't enforce slots. */
    public static BaselineGroup uncoordinated(Picker picker, Detector detector) {
        return new BaselineGroup(picker, detector, false);
    }

    @Override
    public List<GroupAction> on(GroupEvent event, long nowNanos) {
        List<GroupAction> actions = new ArrayList<>();
        if (event instanceof Configured configured) {
            configured.servers().forEach(server -> servers.put(server.name(), server));
        } else if (event instanceof AttemptArrived attempt) {
            queue.add(attempt);
        } else if (event instanceof AttemptEnded ended) {
            endAttempt(ended, nowNanos);
        } else if (event instanceof ProbeEnded probe) {
            detector.onProbeEnded(probe.server(), probe.state().isPresent());
            probe.state().ifPresent(state -> recordServerState(probe.server(), state));
        } else if (event instanceof Tick) {
            tick(nowNanos, actions);
        }
        dispatch(nowNanos, actions);
        return actions;
    }

    private void endAttempt(AttemptEnded ended, long nowNanos) {
        String server = serverByAttempt.remove(ended.attemptId());
        if (server == null) {
            return;
        }
        inFlight.merge(server, -1, Integer::sum);
        boolean refused =
                ended.error().filter(error -> error == ErrorKind.SERVER_REFUSED).isPresent();
        boolean failed = ended.error().isPresent() || ended.status().orElse(0) >= SERVER_ERROR;
        recordServerState(server, ended.serverState());
        if (!refused) {
            detector.onAttemptEnded(server, failed, nowNanos);
        }
    }

    private void recordServerState(String server, ServerState state) {
        if (state == ServerState.DRAINING) {
            draining.add(server);
        } else if (state == ServerState.READY) {
            draining.remove(server);
        }
    }

    private void tick(long nowNanos, List<GroupAction> actions) {
        if (nowNanos - lastProbeNanos >= PROBE_INTERVAL_NANOS) {
            lastProbeNanos = nowNanos;
            servers.keySet().forEach(server -> actions.add(new Probe(server)));
        }
        Set<String> ejectedNow = detector.ejected(servers.values(), nowNanos);
        for (String server : servers.keySet()) {
            boolean before = ejected.contains(server);
            if (before != ejectedNow.contains(server)) {
                actions.add(new ConditionChanged(server, condition(before), condition(!before), "baseline"));
            }
        }
        ejected = ejectedNow;
    }

    private static ServerCondition condition(boolean isEjected) {
        return isEjected ? ServerCondition.EJECTED : ServerCondition.IN_SERVICE;
    }

    private void dispatch(long nowNanos, List<GroupAction> actions) {
        while (!queue.isEmpty()) {
            AttemptArrived first = queue.peek();
            List<ServerSpec> candidates = candidates();
            boolean late = first.deadlineNanos() <= nowNanos;
            if (!late && candidates.isEmpty()) {
                return;
            }
            queue.remove();
            if (late) {
                actions.add(new Refuse(first.attemptId(), ErrorKind.DEADLINE_BEFORE_RUN, Duration.ZERO));
                continue;
            }
            String server = picker.pick(candidates, inFlight).name();
            serverByAttempt.put(first.attemptId(), server);
            inFlight.merge(server, 1, Integer::sum);
            actions.add(new Dispatch(first.attemptId(), server));
        }
    }

    private List<ServerSpec> candidates() {
        return servers.values().stream()
                .filter(server -> !ejected.contains(server.name()) && !draining.contains(server.name()))
                .filter(server -> !enforcesSlots || inFlight.getOrDefault(server.name(), 0) < server.slots())
                .toList();
    }

    @Override
    public GroupStatus status(long nowNanos) {
        List<ServerStatus> statuses = servers.values().stream()
                .map(server -> new ServerStatus(
                        server.name(),
                        condition(ejected.contains(server.name())),
                        "",
                        inFlight.getOrDefault(server.name(), 0),
                        server.slots()))
                .toList();
        return new GroupStatus(0, queue.size(), 0, statuses);
    }
}
