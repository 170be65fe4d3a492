package io.coppershelf.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * The times at which this VM may send a request to a server that limits the requests of the whole fleet. The VMs take
 * turns in the order of their ranks, and each may use its turn for a short time only: turns that were saved up on many
 * VMs would be used together in a burst. Free of I/O and clocks; not thread-safe.
 */
final class RequestTurns {
    /** Time for which a turn can be used; in this time most VMs have a request for the service. */
    static final long OPEN_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final double SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private double perSecond;
    private long intervalNanos;
    private long nextNanos;

    /**
     * Creates the turns at a server that was not limited until now.
     *
     * @param perSecond the limit of the requests of all VMs a second, above 0
     */
    RequestTurns(double perSecond, FleetPosition position, long nowNanos) {
        this.perSecond = perSecond;
        intervalNanos = intervalNanos(perSecond, position);
        nextNanos = nowNanos + (long) (intervalNanos * Math.min(1, (position.rank() + 0.5) / position.size()));
    }

    /** Adapts the turns to the limit and the size of the fleet; the order of the VMs' turns stays. */
    void update(double newPerSecond, FleetPosition position, long nowNanos) {
        perSecond = newPerSecond;
        long newIntervalNanos = intervalNanos(newPerSecond, position);
        if (newIntervalNanos != intervalNanos) {
            skipMissed(nowNanos);
            double remaining = Math.max(0, nextNanos - nowNanos) / (double) intervalNanos;
            nextNanos = nowNanos + (long) (remaining * newIntervalNanos);
            intervalNanos = newIntervalNanos;
        }
    }

    /** Returns whether a request may be sent now. */
    boolean isOpen(long nowNanos) {
        skipMissed(nowNanos);
        return nowNanos - nextNanos >= 0;
    }

    /** Uses the current turn. */
    void use(long nowNanos) {
        skipMissed(nowNanos);
        nextNanos += intervalNanos;
    }

    /** Returns the mean time between two turns of any VM, in nanoseconds. */
    long fleetIntervalNanos() {
        return (long) (SECOND_NANOS / perSecond);
    }

    private void skipMissed(long nowNanos) {
        long openNanos = Math.min(OPEN_NANOS, intervalNanos);
        long lateNanos = nowNanos - nextNanos - openNanos;
        if (lateNanos >= 0) {
            nextNanos += (lateNanos / intervalNanos + 1) * intervalNanos;
        }
    }

    private static long intervalNanos(double perSecond, FleetPosition position) {
        return Math.max(1, (long) (position.size() * SECOND_NANOS / perSecond));
    }
}
