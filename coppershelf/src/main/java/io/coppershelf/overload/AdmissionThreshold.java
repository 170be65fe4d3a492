package io.coppershelf.overload;

import java.util.concurrent.TimeUnit;

/**
 * The threshold below which requests of a service are admitted, on a scale with one unit for each rank. It is
 * controlled such that the servers always have a short queue: long enough that no slot is idle before the VMs know, and
 * short enough that the order of admission counts. All VMs see about the same load and forget their own past, so their
 * thresholds agree without messages of their own. Not thread-safe.
 */
final class AdmissionThreshold {
    /** Requests for each slot from which requests have to be spread with care; nothing is refused yet. */
    private static final double PRESSURE_FILL = 0.8;
    /** Typical age of what the VMs know of the load; the queues must cover the slots that become free within it. */
    private static final double LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(80);
    /** Bounds of the queue that is aimed at, in requests for each slot; server queues hold two to four for each. */
    private static final double MIN_QUEUE = 0.7;

    private static final double MAX_QUEUE = 1.2;
    /** Change of the threshold in a second for one queued request too many at each slot. */
    private static final double INTEGRAL_GAIN = 2;
    /** Largest immediate change for one queued request too many at each slot; larger ones oscillate. */
    private static final double MAX_PROPORTIONAL_GAIN = 1.2;
    /** Time constant with which a threshold returns to its upper end, which makes those of all VMs agree. */
    private static final double FORGET_NANOS = TimeUnit.SECONDS.toNanos(6);
    /** Requests for each slot below which the pressure is ending; under pressure the queues hold more. */
    private static final double RECOVERY_FILL = 1.1;
    /** Rise of the threshold in a second for each slot below that; operation is normal two seconds after a burst. */
    private static final double RECOVERY_GAIN = 8;
    /** Longest time between two updates for which the threshold falls. */
    private static final double MAX_FALL_SECONDS = 0.2;
    /** Time without a queue after which the pressure has ended. */
    private static final long CALM_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final int ranks;
    private double level;
    private double fill;
    private double target = 1 + MIN_QUEUE;
    private double proportionalGain;
    private long updatedNanos;
    private long calmSinceNanos;
    private boolean isUnderPressure;

    /**
     * Creates a threshold that admits everything.
     *
     * @param ranks the number of different ranks
     */
    AdmissionThreshold(int ranks) {
        this.ranks = ranks;
        level = ranks;
    }

    /**
     * Takes in the present load.
     *
     * @param newFill the requests at the servers for each slot
     * @param workNanos the typical time of a request on a server
     */
    void update(double newFill, double workNanos, long nowNanos) {
        double stepNanos = isUnderPressure ? nowNanos - updatedNanos : 0;
        updatedNanos = nowNanos;
        fill = newFill;
        double lag = LAG_NANOS / Math.max(1, workNanos);
        target = 1 + Math.max(MIN_QUEUE, Math.min(MAX_QUEUE, lag));
        proportionalGain = Math.min(MAX_PROPORTIONAL_GAIN, MIN_QUEUE / lag);
        if (!isUnderPressure) {
            isUnderPressure = fill >= PRESSURE_FILL;
            level = ranks;
            calmSinceNanos = nowNanos;
            return;
        }
        move(stepNanos);
        if (fill >= PRESSURE_FILL) {
            calmSinceNanos = nowNanos;
        } else if (nowNanos - calmSinceNanos >= CALM_NANOS && level >= ranks) {
            isUnderPressure = false;
        }
    }

    private void move(double stepNanos) {
        double seconds = stepNanos / TimeUnit.SECONDS.toNanos(1);
        double change = (ranks - level) * Math.min(1, stepNanos / FORGET_NANOS);
        // With few requests the updates are rare, and one high load says little about the time before it.
        change -= INTEGRAL_GAIN * (fill - target) * (fill > target ? Math.min(MAX_FALL_SECONDS, seconds) : seconds);
        change += RECOVERY_GAIN * Math.max(0, RECOVERY_FILL - fill) * seconds;
        level = Math.max(0, Math.min(ranks, level + change));
    }

    /** Returns whether the servers have had more requests than they should of late. */
    boolean isUnderPressure() {
        return isUnderPressure;
    }

    /** Returns the threshold; all requests are admitted while slots are free. */
    double value() {
        if (!isUnderPressure || fill < 1) {
            return ranks;
        }
        return Math.max(0, Math.min(ranks, level - proportionalGain * (fill - target)));
    }

    /** Returns the expected wait in a server's queue, as a multiple of the typical time of a request. */
    double queuedRounds() {
        return Math.max(0, fill - 1);
    }

    /** Returns the last fill. */
    double fill() {
        return fill;
    }

    /** Returns the number of ranks. */
    int ranks() {
        return ranks;
    }
}
