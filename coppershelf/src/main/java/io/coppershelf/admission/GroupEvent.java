package io.coppershelf.admission;

import io.coppershelf.backend.BackendResult.ServerState;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.ticket.ServerSpec;
import io.coppershelf.ticket.ServiceSpec;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** What happens to a server group. */
public sealed interface GroupEvent {
    /**
     * The service or its backend servers in this group changed; servers not named are gone.
     *
     * @param service the service
     * @param servers the servers of the group
     */
    record Configured(ServiceSpec service, List<ServerSpec> servers) implements GroupEvent {}

    /**
     * A request arrived.
     *
     * @param attemptId unique over the fleet
     * @param route the request kind
     * @param idempotent whether it may be repeated
     * @param weight its weight
     * @param deadlineNanos when its answer is of no use any more
     * @param hedge whether it is a second, parallel try of an idempotent request, to be run on a free slot or not at
     *     all
     */
    record RequestArrived(
            String attemptId, String route, boolean idempotent, int weight, long deadlineNanos, boolean hedge)
            implements GroupEvent {}

    /** The sender gave the request up. */
    record RequestCancelled(String attemptId) implements GroupEvent {}

    /**
     * A dispatched try ended.
     *
     * @param attemptId the try
     * @param status the HTTP status of a whole answer, empty if there is none
     * @param error why there is no answer
     * @param serverState what the server said of itself
     */
    record AttemptEnded(String attemptId, Optional<Integer> status, Optional<ErrorKind> error, ServerState serverState)
            implements GroupEvent {}

    /** The server reported itself through a probe; empty state if the probe failed. */
    record ProbeEnded(String server, Optional<ServerState> state) implements GroupEvent {}

    /**
     * Another owner of the same service told the usual service times that it sees, per route in nanoseconds.
     *
     * @param sender the VM
     * @param typicalNanos the usual service time by route
     */
    record ServiceTimesReceived(String sender, Map<String, Long> typicalNanos) implements GroupEvent {}

    /** Another VM says whether it can reach the server, after {@link GroupAction.QueryReachability}. */
    record ReachabilityReported(String server, boolean reachable) implements GroupEvent {}

    /** The right to eject was granted or renewed. */
    record EjectionGranted(String server, long untilNanos) implements GroupEvent {}

    /** The right to eject was refused. */
    record EjectionRefused(String server) implements GroupEvent {}

    /** The right to eject ended early, for instance because a ticket raised the floor. */
    record EjectionRevoked(String server) implements GroupEvent {}

    /** Time passed; sent at least every 50 ms. */
    record Tick() implements GroupEvent {}
}
