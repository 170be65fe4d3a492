package io.coppershelf.bench.load;

import io.coppershelf.ticket.RouteSpec;
import java.util.Optional;

/**
 * The result of one call.
 *
 * @param workId the id of the work item
 * @param route the request kind
 * @param status the HTTP status, 0 if no answer came
 * @param outcome the value of the outcome header
 * @param error the value of the error header
 * @param bodyMatches whether the body was the expected one
 * @param atNanos the scheduled send time, in nanoseconds since the start of the run
 * @param latencyNanos the time from the scheduled send time to the complete answer
 */
public record CallResult(
        String workId,
        RouteSpec route,
        int status,
        Optional<String> outcome,
        Optional<String> error,
        boolean bodyMatches,
        long atNanos,
        long latencyNanos) {
    /** Returns whether the caller received its own complete answer within the deadline of the request kind. */
    public boolean isInTime() {
        return status == 200 && bodyMatches && latencyNanos <= route.deadline().toNanos();
    }

    /** Returns whether the answer stated that the work was not run. */
    public boolean isReportedNotRun() {
        return outcome.equals(Optional.of("not-run"));
    }
}
