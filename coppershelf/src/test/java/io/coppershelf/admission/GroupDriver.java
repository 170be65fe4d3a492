package io.coppershelf.admission;

import io.coppershelf.admission.GroupEvent.Configured;
import io.coppershelf.admission.GroupEvent.RequestArrived;
import io.coppershelf.admission.GroupEvent.Tick;
import io.coppershelf.admission.GroupEvent.TryEnded;
import io.coppershelf.backend.BackendResult.ServerState;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.ticket.ServerSpec;
import io.coppershelf.ticket.ServiceSpec;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/** Drives a server group in virtual time and keeps what it wants done. */
final class GroupDriver {
    static final String READ = "rotavis/week";
    static final String CLAIM = "rotavis/claim";

    final ServerGroup group = ServerGroup.create(new GroupName("rotavis", "herning"), new Random(1));
    final List<GroupAction> actions = new ArrayList<>();
    long now;
    private int tries;

    static ServerSpec server(String name, int slots, boolean draining) {
        return new ServerSpec(name, "rotavis", "herning", "127.0.0.1", 1, slots, 330, draining);
    }

    GroupDriver configure(ServerSpec... servers) {
        return send(new Configured(new ServiceSpec("rotavis", 1, 0.8), List.of(servers)));
    }

    GroupDriver send(GroupEvent event) {
        actions.clear();
        actions.addAll(group.on(event, now));
        return this;
    }

    GroupDriver pass(Duration time) {
        List<GroupAction> all = new ArrayList<>();
        for (long left = time.toMillis(); left > 0; left -= 50) {
            now += Duration.ofMillis(Math.min(left, 50)).toNanos();
            all.addAll(group.on(new Tick(), now));
        }
        actions.clear();
        actions.addAll(all);
        return this;
    }

    String request(String route, int weight, Duration deadline) {
        return request(route, weight, deadline, false);
    }

    String request(String route, int weight, Duration deadline, boolean hedge) {
        String tryId = "try-" + tries++;
        send(new RequestArrived(tryId, route, !route.equals(CLAIM), weight, now + deadline.toNanos(), hedge));
        return tryId;
    }

    GroupDriver answer(String tryId) {
        return answer(tryId, 200, ServerState.READY);
    }

    GroupDriver answer(String tryId, int status, ServerState state) {
        return send(new TryEnded(tryId, Optional.of(status), Optional.empty(), state));
    }

    GroupDriver fail(String tryId, ErrorKind error, ServerState state) {
        return send(new TryEnded(tryId, Optional.empty(), Optional.of(error), state));
    }

    <T extends GroupAction> List<T> all(Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }
}
