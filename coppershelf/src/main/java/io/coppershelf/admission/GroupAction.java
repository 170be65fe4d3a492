package io.coppershelf.admission;

import io.coppershelf.health.ServerCondition;
import io.coppershelf.outcome.ErrorKind;
import java.time.Duration;
import java.util.Map;

/** What a server group wants done. */
public sealed interface GroupAction {
    /** Send the try to the server now. */
    record Dispatch(String attemptId, String server) implements GroupAction {}

    /** Answer the try as not run, at once. */
    record Refuse(String attemptId, ErrorKind error, Duration retryAfter) implements GroupAction {}

    /** Cancel the try on its server; {@link GroupEvent.AttemptEnded} follows. */
    record CancelOnServer(String attemptId, String server) implements GroupAction {}

    /** Ask for the right to eject the server, or renew it. */
    record RequestEjection(String server, String reason) implements GroupAction {}

    /** Give the right to eject the server back. */
    record ReleaseEjection(String server) implements GroupAction {}

    /** Probe the server. */
    record Probe(String server) implements GroupAction {}

    /** Ask VMs of other data centres whether they can reach the server. */
    record QueryReachability(String server) implements GroupAction {}

    /** Tell the other owners of the service the usual service times, per route in nanoseconds. */
    record ShareServiceTimes(Map<String, Long> typicalNanos) implements GroupAction {}

    /** Record the change of a server's condition on the time line. */
    record ConditionChanged(String server, ServerCondition from, ServerCondition to, String reason)
            implements GroupAction {}
}
