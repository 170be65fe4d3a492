package io.coppershelf.outcome;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

/**
 * The closed list of error kinds, with the answer to each: HTTP status, outcome and the time after which a retry is
 * safe and useful.
 *
 * <p>Kinds that never reach a caller (settings, tickets, peers, platform) carry the status that the operator interface
 * uses.
 */
public enum ErrorKind {
    MALFORMED_REQUEST(400, Outcome.NOT_RUN, Retry.NEVER),
    INVALID_DEADLINE(400, Outcome.NOT_RUN, Retry.NEVER),
    INVALID_KEY(400, Outcome.NOT_RUN, Retry.NEVER),
    UNKNOWN_API_KEY(401, Outcome.NOT_RUN, Retry.NEVER),
    UNKNOWN_ROUTE(404, Outcome.NOT_RUN, Retry.NEVER),
    METHOD_NOT_ALLOWED(405, Outcome.NOT_RUN, Retry.NEVER),
    SLOW_REQUEST(408, Outcome.NOT_RUN, Retry.NEVER),
    KEY_RUNNING(409, Outcome.UNKNOWN, Retry.LATER),
    KEY_OUTCOME_UNKNOWN(409, Outcome.UNKNOWN, Retry.NEVER),
    KEY_ANSWER_NOT_KEPT(409, Outcome.RUN, Retry.NEVER),
    BODY_TOO_LARGE(413, Outcome.NOT_RUN, Retry.NEVER),
    KEY_REUSED(422, Outcome.NOT_RUN, Retry.NEVER),
    OVER_USAGE_CAP(429, Outcome.NOT_RUN, Retry.SOON),
    HEAD_TOO_LARGE(431, Outcome.NOT_RUN, Retry.NEVER),
    INTERNAL(500, Outcome.UNKNOWN, Retry.NEVER),
    SERVER_LOST(502, Outcome.UNKNOWN, Retry.NEVER),
    ANSWER_TRUNCATED(502, Outcome.UNKNOWN, Retry.NEVER),
    ANSWER_FOREIGN(502, Outcome.UNKNOWN, Retry.NEVER),
    ANSWER_TOO_LARGE(502, Outcome.RUN, Retry.NEVER),
    OWNER_LOST(502, Outcome.UNKNOWN, Retry.NEVER),
    USAGE_CAP_UNKNOWN(503, Outcome.NOT_RUN, Retry.SOON),
    OVERLOADED(503, Outcome.NOT_RUN, Retry.SOON),
    SERVER_REFUSED(503, Outcome.NOT_RUN, Retry.SOON),
    REQUEST_QUARANTINED(503, Outcome.NOT_RUN, Retry.LATER),
    NO_SERVER(503, Outcome.NOT_RUN, Retry.LATER),
    OWNER_UNREACHABLE(503, Outcome.NOT_RUN, Retry.SOON),
    KEY_UNDECIDED(503, Outcome.NOT_RUN, Retry.LATER),
    STOPPING(503, Outcome.NOT_RUN, Retry.SOON),
    STARTING(503, Outcome.NOT_RUN, Retry.SOON),
    DEADLINE_BEFORE_RUN(504, Outcome.NOT_RUN, Retry.NEVER),
    DEADLINE_PASSED(504, Outcome.UNKNOWN, Retry.NEVER),
    INVALID_SETTINGS(400, Outcome.NOT_RUN, Retry.NEVER),
    INVALID_TICKET(400, Outcome.NOT_RUN, Retry.NEVER),
    TICKET_CONFLICT(409, Outcome.NOT_RUN, Retry.NEVER),
    PLATFORM_UNREACHABLE(503, Outcome.NOT_RUN, Retry.LATER),
    PLATFORM_GARBLED(502, Outcome.NOT_RUN, Retry.NEVER),
    PEER_GARBLED(502, Outcome.NOT_RUN, Retry.NEVER),
    SERVICE_MISSING(500, Outcome.NOT_RUN, Retry.NEVER);

    private final int status;
    private final Outcome outcome;
    private final Retry retry;

    ErrorKind(int status, Outcome outcome, Retry retry) {
        this.status = status;
        this.outcome = outcome;
        this.retry = retry;
    }

    /** Returns the HTTP status of the answer. */
    public int status() {
        return status;
    }

    /** Returns the outcome that the answer states. */
    public Outcome outcome() {
        return outcome;
    }

    /** Returns the default of the {@code Retry-After} header, empty if a retry is not advised. */
    public Optional<Duration> retryAfter() {
        return Optional.ofNullable(retry.delay);
    }

    /** Returns the value of the {@code Coppershelf-Error} header, such as {@code unknown-route}. */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private enum Retry {
        NEVER(null),
        SOON(Duration.ofSeconds(1)),
        LATER(Duration.ofSeconds(5));

        @SuppressWarnings("ImmutableEnumChecker")
        private final Duration delay;

        Retry(Duration delay) {
            this.delay = delay;
        }
    }
}
