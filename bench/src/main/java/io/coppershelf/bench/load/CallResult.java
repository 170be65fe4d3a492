package io.coppershelf.bench.load;

import io.coppershelf.ticket.RouteSpec;
import java.util.Optional;

/**
 * How one call ended.
 *
 * @param workId the piece of work
 * @param route the request kind
 * @param status the HTTP status, 0 if no answer came
 * @param outcome the value of the outcome header
 * @param error the value of the error header
 * @param whole whether the body was the one expected
 * @param atNanos when the call was to be sent, from the start of the run
 * @param latencyNanos from the time at which it was to be sent to the whole answer
 */
public record CallResult(
        String workId,
        RouteSpec route,
        int status,
        Optional<String> outcome,
        Optional<String> error,
        boolean whole,
        long atNanos,
        long latencyNanos) {
    /** Returns whether the caller got its own whole answer within the deadline of the kind. */
    public boolean isInTime() {
        return status == 200 && whole && latencyNanos <= route.deadline().toNanos();
    }

    /** Returns whether the caller was told that the work was not run. */
    public boolean isReportedNotRun() {
        return outcome.equals(Optional.of("not-run"));
    }
}
