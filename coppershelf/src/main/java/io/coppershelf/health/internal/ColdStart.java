package io.coppershelf.health.internal;

import java.time.Duration;

/** The slow ramp of a server that starts cold or returns to service, and the longer limits by which it is judged. */
public final class ColdStart {
    /** How much slower than its peers a cold server may be. */
    public static final double SLOWNESS = 8.0;

    private static final long RAMP_NANOS = Duration.ofSeconds(10).toNanos();
    private static final double FIRST_SHARE = 0.34;

    /** How long a server's own word that it is cold counts. */
    private static final long LONGEST_NANOS = Duration.ofMinutes(1).toNanos();

    private boolean ramping;
    private long startedNanos;
    private boolean stated;
    private boolean distrusted;

    /** Begins the ramp. */
    public void begin(long nowNanos) {
        ramping = true;
        startedNanos = nowNanos;
    }

    /** Returns the slots that may be used by now. */
    public int allowedSlots(int slots, long nowNanos) {
        if (!ramping) {
            return slots;
        }
        double grown = (double) (nowNanos - startedNanos) / RAMP_NANOS;
        double share = Math.min(1.0, FIRST_SHARE + (1 - FIRST_SHARE) * grown);
        return Math.max(1, (int) (slots * share));
    }

    /** Takes in the server's word that it is cold; returns whether the word counts. */
    public boolean reportCold() {
        stated = true;
        return !distrusted;
    }

    /** Takes in the server's word that it is ready. */
    public void reportReady() {
        stated = false;
        distrusted = false;
    }

    /** Returns whether the start is over. A server that says for too long that it is cold is not believed any more. */
    public boolean isOver(long nowNanos) {
        long age = nowNanos - startedNanos;
        distrusted |= stated && age >= LONGEST_NANOS;
        return age >= RAMP_NANOS && (!stated || distrusted);
    }
}
