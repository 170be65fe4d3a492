package io.coppershelf.health.internal;

import java.time.Duration;

/**
 * The slow start of a server that starts cold or returns to service: its slots ramp up, and it is judged with longer
 * limits.
 */
public final class ColdStart {
    /** The factor by which a cold server may be slower than its peers. */
    public static final double SLOWNESS = 8.0;

    private static final long RAMP_NANOS = Duration.ofSeconds(10).toNanos();
    private static final double INITIAL_SHARE = 0.34;

    /** How long a server's report that it is cold is accepted. */
    private static final long MAX_REPORTED_NANOS = Duration.ofMinutes(1).toNanos();

    private boolean ramping;
    private long startedNanos;
    private boolean reportedCold;
    private boolean ignoresReports;

    /** Begins the ramp. */
    public void begin(long nowNanos) {
        ramping = true;
        startedNanos = nowNanos;
    }

    /** Returns the slots that may be used at the given time. */
    public int allowedSlots(int slots, long nowNanos) {
        if (!ramping) {
            return slots;
        }
        double elapsedShare = (double) (nowNanos - startedNanos) / RAMP_NANOS;
        double share = Math.min(1.0, INITIAL_SHARE + (1 - INITIAL_SHARE) * elapsedShare);
        return Math.max(1, (int) (slots * share));
    }

    /** Records the server's report that it is cold; returns whether the report is accepted. */
    public boolean reportCold() {
        reportedCold = true;
        return !ignoresReports;
    }

    /** Records the server's report that it is ready. */
    public void reportReady() {
        reportedCold = false;
        ignoresReports = false;
    }

    /** Returns whether the start is over. Reports of a server that stays cold for too long are ignored. */
    public boolean isOver(long nowNanos) {
        long age = nowNanos - startedNanos;
        ignoresReports |= reportedCold && age >= MAX_REPORTED_NANOS;
        return age >= RAMP_NANOS && (!reportedCold || ignoresReports);
    }
}
