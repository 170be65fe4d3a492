package io.coppershelf.quota;

import java.util.concurrent.TimeUnit;

/** The rate of recent requests, with exponentially decreasing weights. Not thread-safe. */
final class DemandEstimate {
    /** Time in which the weight of a request falls to 37%; callers that move are followed within seconds. */
    private static final double DECAY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private double perSecond;
    private long updatedNanos;

    /** Records a request. */
    void record(long nowNanos) {
        perSecond = perSecond(nowNanos) + 1;
        updatedNanos = nowNanos;
    }

    /** Returns the requests a second. */
    double perSecond(long nowNanos) {
        return perSecond * Math.exp(-Math.max(0, nowNanos - updatedNanos) / DECAY_NANOS);
    }
}
