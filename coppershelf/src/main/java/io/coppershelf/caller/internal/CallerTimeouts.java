package io.coppershelf.caller.internal;

import java.time.Duration;

/**
 * Time limits for callers.
 *
 * @param body the time limit for receiving the body of a request
 * @param answer the time limit for the caller to read its answer
 */
public record CallerTimeouts(Duration body, Duration answer) {
    /** The default timeouts. */
    public static final CallerTimeouts DEFAULT = new CallerTimeouts(Duration.ofSeconds(5), Duration.ofSeconds(20));
}
