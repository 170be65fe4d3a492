package io.coppershelf.overload;

import java.time.Duration;

/** What happens to a request that has arrived. */
public sealed interface AdmissionDecision {
    /** The request is sent to a server now. */
    record Admit() implements AdmissionDecision {}

    /**
     * The request is refused, as not run.
     *
     * @param reason why, for the caller
     * @param retryAfter the time after which the caller may return
     * @param inputs what the decision was based on
     */
    record Refuse(String reason, Duration retryAfter, AdmissionInputs inputs) implements AdmissionDecision {}
}
