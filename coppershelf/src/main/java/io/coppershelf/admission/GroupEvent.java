package io.coppershelf.admission;

import io.coppershelf.backend.BackendResult.ServerState;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.ticket.ServerSpec;
import io.coppershelf.ticket.ServiceSpec;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** An event that a server group handles. */
public sealed interface GroupEvent {
    /**
     * The service or its backend servers in this group changed; servers that aren't listed were removed.
     *
     * @param service the service
     * @param servers the servers of the group
     */
    record Configured(ServiceSpec service, List<ServerSpec> servers) implements GroupEvent {}

    /**
     * An attempt arrived.
     *
     * @param attemptId the id of the attempt, unique in the fleet
     * @param route the route
     * @param idempotent whether it may be retried
     * @param weight its weight
     * @param deadlineNanos the monotonic time after which its answer is of no use
     * @param hedge whether it is a hedge of an idempotent request, to be run on a free slot or refused
     */
    record AttemptArrived(
            String attemptId, String route, boolean idempotent, int weight, long deadlineNanos, boolean hedge)
            implements GroupEvent {}

    /** The sender cancelled the attempt. */
    record AttemptCancelled(String attemptId) implements GroupEvent {}

    /**
     * A dispatched attempt ended.
     *
     * @param attemptId the attempt
     * @param status the HTTP status of a complete answer, empty if there is none
     * @param error why there is no answer
     * @param serverState the state that the server reported
     */
    record AttemptEnded(String attemptId, Optional<Integer> status, Optional<ErrorKind> error, ServerState serverState)
            implements GroupEvent {}

    /** A probe ended; the state is empty if the probe failed. */
    record ProbeEnded(String server, Optional<ServerState> state) implements GroupEvent {}

    /**
     * Another owner of the same service sent the typical service times that it measured.
     *
     * @param sender the VM
     * @param typicalNanos the typical service time in nanoseconds by route
     */
    record ServiceTimesReceived(String sender, Map<String, Long> typicalNanos) implements GroupEvent {}

    /** Another VM reported whether it can reach the server, after {@link GroupAction.QueryReachability}. */
    record ReachabilityReported(String server, boolean reachable) implements GroupEvent {}

    /** A grant to eject the server was issued or renewed. */
    record GrantReceived(String server, long untilNanos) implements GroupEvent {}

    /** The request for a grant to eject the server was refused. */
    record GrantRefused(String server) implements GroupEvent {}

    /** The grant to eject the server was revoked before its end, for example because a ticket raised the floor. */
    record GrantRevoked(String server) implements GroupEvent {}

    /** Time passed; sent at least every 50 ms. */
    record Tick() implements GroupEvent {}
}
