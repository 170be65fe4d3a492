package io.coppershelf.catalog;

/** What a request of a route may do when its outcome is unknown. */
public enum RequestKind {
    /** May run more than once. */
    REPEATABLE,
    /** May run at most once. */
    ONCE,
    /** May run more than once and has a large answer. */
    LARGE_ANSWER;

    /** Returns whether a request may be sent again after it may have run. */
    public boolean isRepeatable() {
        return this != ONCE;
    }
}
