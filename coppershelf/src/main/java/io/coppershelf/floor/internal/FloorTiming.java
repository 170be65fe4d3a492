package io.coppershelf.floor.internal;

import java.time.Duration;

/**
 * The durations of the floor protocol.
 *
 * <p>Clocks are not synchronised, but the rate of each is assumed to be within {@link #CLOCK_RATE_ERROR} of the true
 * rate. The holder of a lease or grant counts its duration from before it sent the request. The issuer counts from
 * receipt of the request and adds {@link #RATE_MARGIN}, so that it always expires later at the issuer than at the
 * holder.
 */
public final class FloorTiming {
    /** The largest deviation of a clock from the true rate, as a fraction. */
    public static final double CLOCK_RATE_ERROR = 0.01;

    /**
     * How much longer the issuer of a lease or grant counts than its holder, as a fraction; above twice the rate error.
     */
    public static final double RATE_MARGIN = 0.05;

    /** How long a VM may act as granter on the votes of one round. */
    public static final Duration LEASE_DURATION = Duration.ofSeconds(10);

    /** The time between two vote rounds. */
    public static final Duration LEASE_RENEWAL = Duration.ofSeconds(3);

    /** How long a grant is valid. */
    public static final Duration GRANT_DURATION = Duration.ofSeconds(10);

    /** The time between two renewals of a grant. */
    public static final Duration GRANT_RENEWAL = Duration.ofSeconds(3);

    /** How long a holder waits for the reply of one VM before it sends the request to the next one. */
    public static final Duration REPLY_TIMEOUT = Duration.ofMillis(500);

    /** The time between two reports of servers that are out of service. */
    public static final Duration REPORT_INTERVAL = Duration.ofSeconds(3);

    /** How long a report of servers that are out of service is valid. */
    public static final Duration REPORT_DURATION = Duration.ofSeconds(30);

    /** The gap between two ticks from which a process treats itself as having been paused. */
    public static final Duration PAUSE_THRESHOLD = Duration.ofSeconds(2);

    private FloorTiming() {}

    /** Returns how long the issuer of a lease or grant of the given duration counts it, in nanoseconds. */
    public static long issuerNanos(Duration duration) {
        return (long) (duration.toNanos() * (1 + RATE_MARGIN));
    }
}
