package io.coppershelf.caller.internal;

import java.time.Duration;

/**
 * The longest times that a caller may take.
 *
 * @param body for its body to arrive
 * @param answer to take its answer
 */
public record CallerTimeouts(Duration body, Duration answer) {
    /** The timeouts of the product. */
    public static final CallerTimeouts DEFAULT = new CallerTimeouts(Duration.ofSeconds(5), Duration.ofSeconds(20));
}
