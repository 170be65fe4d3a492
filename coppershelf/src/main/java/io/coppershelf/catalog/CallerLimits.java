package io.coppershelf.catalog;

import java.time.Duration;

/**
 * What a caller may send and how long it may take.
 *
 * @param headBytes the largest request head, in bytes
 * @param bodyBytes the largest request body, in bytes
 * @param headTimeout the longest time from the first byte of a head to its end
 * @param idleTimeout how long a connection may stay without a request
 */
public record CallerLimits(int headBytes, long bodyBytes, Duration headTimeout, Duration idleTimeout) {
    /** The limits until a configuration is known. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16 * 1024, 64L * 1024 * 1024, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
