package io.coppershelf.catalog;

/** Whether the requests of a route may run more than once, which decides on retries after an unknown outcome. */
public enum RequestKind {
    /** May run more than once. */
    REPEATABLE,
    /** May run at most once. */
    ONCE,
    /** May run more than once and has a large answer. */
    LARGE_ANSWER;

    /** Returns whether a request may be retried although it may already have run. */
    public boolean isRepeatable() {
        return this != ONCE;
    }
}
