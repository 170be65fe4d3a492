package io.coppershelf.floor.internal;

import java.time.Duration;

/**
 * The durations of the floor's protocol.
 *
 * <p>Clocks are not synchronised; each is assumed to run at the true rate within {@link #CLOCK_RATE_ERROR}. Who uses a
 * promise counts from before it asked; who gave it counts from receipt and adds {@link #RATE_MARGIN}, so that the giver
 * always counts longer.
 */
public final class FloorTiming {
    /** How far a clock may run from the true rate, as a fraction. */
    public static final double CLOCK_RATE_ERROR = 0.01;

    /** How much longer the giver of a promise counts than its user, as a fraction; above twice the rate error. */
    public static final double RATE_MARGIN = 0.05;

    /** How long a granter may act on the votes of one round. */
    public static final Duration LEASE_DURATION = Duration.ofSeconds(10);

    /** The time between two rounds of votes. */
    public static final Duration LEASE_RENEWAL = Duration.ofSeconds(3);

    /** How long a right holds. */
    public static final Duration GRANT_DURATION = Duration.ofSeconds(10);

    /** The time between two renewals of a right. */
    public static final Duration GRANT_RENEWAL = Duration.ofSeconds(3);

    /** How long a holder waits for the answer of one VM before it asks the next. */
    public static final Duration ANSWER_TIMEOUT = Duration.ofMillis(500);

    /** The time between two reports of servers that are out of service. */
    public static final Duration REPORT_INTERVAL = Duration.ofSeconds(3);

    /** How long a report of servers that are out of service counts. */
    public static final Duration REPORT_DURATION = Duration.ofSeconds(30);

    /** A gap between two ticks from which on a process counts itself as paused. */
    public static final Duration PAUSE_LIMIT = Duration.ofSeconds(2);

    private FloorTiming() {}

    /** Returns how long the giver of a promise of the given duration counts, in nanoseconds. */
    public static long issuerNanos(Duration duration) {
        return (long) (duration.toNanos() * (1 + RATE_MARGIN));
    }
}
