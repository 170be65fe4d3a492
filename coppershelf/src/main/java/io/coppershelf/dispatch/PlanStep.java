package io.coppershelf.dispatch;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.outcome.ErrorKind;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

/** The next step of a request. */
public sealed interface PlanStep {
    /**
     * Sends the request to a server.
     *
     * @param attempt the number of the attempt, from 0
     * @param reason the reason for the attempt, for the log
     */
    record Send(int attempt, BackendServer server, String reason) implements PlanStep {}

    /**
     * Hands the request to another VM, which sends it to servers.
     *
     * @param attempt the number of the attempt, from 0
     * @param servers the number of servers to which the other VM may send it
     */
    record Relay(int attempt, InetSocketAddress vm, int servers) implements PlanStep {}

    /** Delivers the answer of this attempt to the caller and cancels the other attempts. */
    record Deliver(int attempt) implements PlanStep {}

    /**
     * Answers the caller with an error and cancels all attempts.
     *
     * @param retryAfter the time after which the caller may retry, empty if a retry is not advised
     */
    record Fail(ErrorKind kind, String reason, Optional<Duration> retryAfter) implements PlanStep {}

    /** Reports that the server of this attempt is much slower than typical. */
    record ReportStall(int attempt) implements PlanStep {}
}
