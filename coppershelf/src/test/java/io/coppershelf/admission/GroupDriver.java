package io.coppershelf.admission;

import io.coppershelf.admission.GroupAction.CancelOnServer;
import io.coppershelf.admission.GroupAction.Dispatch;
import io.coppershelf.admission.GroupEvent.AttemptArrived;
import io.coppershelf.admission.GroupEvent.AttemptEnded;
import io.coppershelf.admission.GroupEvent.Configured;
import io.coppershelf.admission.GroupEvent.Tick;
import io.coppershelf.admission.GroupStatus.ServerStatus;
import io.coppershelf.backend.BackendResult.ServerState;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.ticket.ServerSpec;
import io.coppershelf.ticket.ServiceSpec;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/** Runs a server group in virtual time and keeps the actions that it returns. */
final class GroupDriver {
    static final Duration SERVICE_TIME = Duration.ofMillis(50);
    static final String READ = "rotavis/week";
    static final String CLAIM = "rotavis/claim";

    final ServerGroup group = ServerGroup.create(new GroupName("rotavis", "herning"), new Random(1));
    final List<GroupAction> actions = new ArrayList<>();
    long now;
    private final Map<String, Sent> sent = new LinkedHashMap<>();
    private final Set<String> stalled = new HashSet<>();
    private boolean serving;
    private int attempts;

    private record Sent(String server, long dueNanos) {}

    static ServerSpec server(String name, int slots, boolean draining) {
        return new ServerSpec(name, "rotavis", "herning", "127.0.0.1", 1, slots, 330, draining);
    }

    GroupDriver configure(ServerSpec... servers) {
        return send(new Configured(new ServiceSpec("rotavis", 1, 0.8), List.of(servers)));
    }

    GroupDriver send(GroupEvent event) {
        actions.clear();
        actions.addAll(group.on(event, now));
        schedule(actions);
        return this;
    }

    GroupDriver advance(Duration time) {
        List<GroupAction> all = new ArrayList<>();
        for (long left = time.toMillis(); left > 0; left -= 50) {
            now += Duration.ofMillis(Math.min(left, 50)).toNanos();
            all.addAll(step());
        }
        actions.clear();
        actions.addAll(all);
        return this;
    }

    String request(String route, int weight, Duration deadline) {
        return request(route, weight, deadline, false);
    }

    String request(String route, int weight, Duration deadline, boolean hedge) {
        String attemptId = "try-" + attempts++;
        send(new AttemptArrived(attemptId, route, !route.equals(CLAIM), weight, now + deadline.toNanos(), hedge));
        return attemptId;
    }

    GroupDriver answer(String attemptId) {
        return answer(attemptId, 200, ServerState.READY);
    }

    GroupDriver answer(String attemptId, int status, ServerState state) {
        sent.remove(attemptId);
        return send(new AttemptEnded(attemptId, Optional.of(status), Optional.empty(), state));
    }

    GroupDriver fail(String attemptId, ErrorKind error, ServerState state) {
        return send(ended(attemptId, error, state));
    }

    /** Makes the servers answer every attempt after {@link #SERVICE_TIME}. */
    GroupDriver serve() {
        serving = true;
        return this;
    }

    /** Makes a server stop answering. */
    GroupDriver stall(String server) {
        stalled.add(server);
        return this;
    }

    /** Makes a stalled server answer again. */
    GroupDriver recover(String server) {
        stalled.remove(server);
        return this;
    }

    /** Sends a request every 10 ms for the given time; keeps the actions of the whole time. */
    GroupDriver load(String route, Duration time) {
        List<GroupAction> all = new ArrayList<>();
        for (long left = time.toMillis(); left > 0; left -= 10) {
            request(route, 1, Duration.ofSeconds(5));
            all.addAll(actions);
            now += Duration.ofMillis(10).toNanos();
            all.addAll(step());
        }
        actions.clear();
        actions.addAll(all);
        return this;
    }

    private List<GroupAction> step() {
        List<GroupAction> all = new ArrayList<>(group.on(new Tick(), now));
        schedule(all);
        for (Map.Entry<String, Sent> entry : List.copyOf(sent.entrySet())) {
            if (entry.getValue().dueNanos() <= now
                    && !stalled.contains(entry.getValue().server())) {
                answer(entry.getKey());
                all.addAll(actions);
            }
        }
        return all;
    }

    private void schedule(List<GroupAction> returned) {
        if (!serving) {
            return;
        }
        for (GroupAction action : returned) {
            if (action instanceof Dispatch dispatch) {
                sent.put(dispatch.attemptId(), new Sent(dispatch.server(), now + SERVICE_TIME.toNanos()));
            } else if (action instanceof CancelOnServer cancel && sent.containsKey(cancel.attemptId())) {
                schedule(group.on(ended(cancel.attemptId(), ErrorKind.DEADLINE_PASSED, ServerState.UNSTATED), now));
            }
        }
    }

    private AttemptEnded ended(String attemptId, ErrorKind error, ServerState state) {
        sent.remove(attemptId);
        return new AttemptEnded(attemptId, Optional.empty(), Optional.of(error), state);
    }

    ServerStatus status(String server) {
        return group.status(now).servers().stream()
                .filter(status -> status.server().equals(server))
                .findFirst()
                .orElseThrow();
    }

    <T extends GroupAction> List<T> all(Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }
}
