package io.coppershelf.quota;

/** A token bucket whose rate and capacity may change. Not thread-safe. */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private double perSecond;
    private double capacity;
    private double tokens;
    private long filledNanos;

    /** Creates a bucket that was empty at a time in the past. */
    TokenBucket(double perSecond, double capacity, long emptyNanos) {
        this.perSecond = perSecond;
        this.capacity = capacity;
        filledNanos = emptyNanos;
    }

    /** Changes the figures; the time until now counts with the former ones, tokens beyond the capacity are lost. */
    void change(double newPerSecond, double newCapacity, long nowNanos) {
        fill(nowNanos);
        perSecond = newPerSecond;
        capacity = newCapacity;
        tokens = Math.min(tokens, capacity);
    }

    /** Takes up to a number of whole tokens. */
    int take(int wanted, long nowNanos) {
        fill(nowNanos);
        int taken = (int) Math.min(wanted, Math.floor(tokens));
        tokens -= taken;
        return taken;
    }

    /** Puts tokens back that were not used. */
    void giveBack(int count, long nowNanos) {
        fill(nowNanos);
        tokens = Math.min(capacity, tokens + Math.max(0, count));
    }

    /** Returns the time in which a number of tokens is refilled, in nanoseconds. */
    long refillNanos(double count) {
        return perSecond <= 0 ? Long.MAX_VALUE / 4 : (long) (count / perSecond * NANOS_PER_SECOND);
    }

    /** Returns the part of the next whole token that is missing. */
    double missing() {
        return Math.max(0, 1 - tokens);
    }

    private void fill(long nowNanos) {
        double elapsed = Math.max(0, nowNanos - filledNanos) / NANOS_PER_SECOND;
        tokens = Math.min(capacity, tokens + elapsed * perSecond);
        filledNanos = Math.max(filledNanos, nowNanos);
    }
}
