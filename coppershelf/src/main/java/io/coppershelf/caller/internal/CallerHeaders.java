package io.coppershelf.caller.internal;

/** The headers of the protocol with callers, as specified in docs/protocols/caller.md. */
final class CallerHeaders {
    static final String DEADLINE_MILLIS = "Coppershelf-Deadline-Ms";
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    static final String OUTCOME = "Coppershelf-Outcome";
    static final String REQUEST_ID = "Coppershelf-Request-Id";
    static final String ERROR = "Coppershelf-Error";
    static final String RETRY_AFTER = "Retry-After";

    private CallerHeaders() {}
}
