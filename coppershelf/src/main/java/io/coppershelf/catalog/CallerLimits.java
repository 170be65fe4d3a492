package io.coppershelf.catalog;

import java.time.Duration;

/**
 * Limits on the size and duration of callers' requests.
 *
 * @param headBytes the largest request head, in bytes
 * @param bodyBytes the largest request body, in bytes
 * @param headTimeout the longest time from the first byte of a head to its end
 * @param idleTimeout the longest time that a connection may stay without a request
 */
public record CallerLimits(int headBytes, long bodyBytes, Duration headTimeout, Duration idleTimeout) {
    /** The limits before the first configuration. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16 * 1024, 64L * 1024 * 1024, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
