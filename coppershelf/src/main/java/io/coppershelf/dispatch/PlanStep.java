package io.coppershelf.dispatch;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.outcome.ErrorKind;
import java.time.Duration;
import java.util.Optional;

/** What to do next with a request. */
public sealed interface PlanStep {
    /**
     * Send it to a server.
     *
     * @param attempt the number of the attempt, from 0
     * @param reason why, for the log
     */
    record Send(int attempt, BackendServer server, String reason) implements PlanStep {}

    /** Give the answer of this attempt to the caller, and cancel the others. */
    record Deliver(int attempt) implements PlanStep {}

    /**
     * Answer the caller with an error, and cancel all attempts.
     *
     * @param retryAfter when the caller may come back, empty if that is not advised
     */
    record Fail(ErrorKind kind, String reason, Optional<Duration> retryAfter) implements PlanStep {}

    /** The server of this attempt is much slower than usual. */
    record ReportStall(int attempt) implements PlanStep {}
}
