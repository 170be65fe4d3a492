package io.coppershelf.admission;

import io.coppershelf.health.ServerCondition;
import io.coppershelf.outcome.ErrorKind;
import java.time.Duration;
import java.util.Map;

/** An action that a server group requests from its runtime. */
public sealed interface GroupAction {
    /** Sends the attempt to the server. */
    record Dispatch(String attemptId, String server) implements GroupAction {}

    /** Answers the attempt as not run. */
    record Refuse(String attemptId, ErrorKind error, Duration retryAfter) implements GroupAction {}

    /** Cancels the attempt on its server; {@link GroupEvent.AttemptEnded} follows. */
    record CancelOnServer(String attemptId, String server) implements GroupAction {}

    /** Requests a grant to eject the server, or renews it. */
    record RequestGrant(String server, String reason) implements GroupAction {}

    /** Releases the grant to eject the server. */
    record ReleaseGrant(String server) implements GroupAction {}

    /** Probes the server. */
    record Probe(String server) implements GroupAction {}

    /** Queries VMs of other data centres whether they can reach the server. */
    record QueryReachability(String server) implements GroupAction {}

    /** Sends the typical service times, per route in nanoseconds, to the other owners of the service. */
    record ShareServiceTimes(Map<String, Long> typicalNanos) implements GroupAction {}

    /** Records the change of a server's condition on the time line. */
    record ConditionChanged(String server, ServerCondition from, ServerCondition to, String reason)
            implements GroupAction {}
}
