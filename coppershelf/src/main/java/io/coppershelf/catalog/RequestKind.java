package io.coppershelf.catalog;

/** Whether the requests of a route may run more than once, which decides on retries after an unknown outcome. */
public enum RequestKind {
    /** May run more than once. */
    REPEATABLE,
    /** May run at most once. */
    ONCE,
    /** May run more than once and has a large answer. */
    LARGE_ANSWER,
    /** May run at most once and has a large body. */
    LARGE_REQUEST;

    /** Returns whether a request or its answer has a large body. */
    public boolean isLarge() {
        return this == LARGE_ANSWER || this == LARGE_REQUEST;
    }

    /** Returns whether a request may be retried although it may already have run. */
    public boolean isRepeatable() {
        return this == REPEATABLE || this == LARGE_ANSWER;
    }
}
