package io.coppershelf.dispatch;

import java.util.Arrays;

/** A count of events in a window that slides by one bucket at a time. Not thread-safe. */
final class SlidingCount {
    private final int[] counts;
    private final long bucketNanos;
    private long bucketStartNanos;

    SlidingCount(int buckets, long bucketNanos, long nowNanos) {
        counts = new int[buckets];
        this.bucketNanos = bucketNanos;
        bucketStartNanos = nowNanos;
    }

    void add(long nowNanos) {
        slideTo(nowNanos);
        counts[0]++;
    }

    /** Removes the latest event, if there is one. */
    void removeLatest(long nowNanos) {
        slideTo(nowNanos);
        for (int i = 0; i < counts.length; i++) {
            if (counts[i] > 0) {
                counts[i]--;
                return;
            }
        }
    }

    /** Returns the events of the whole window. */
    int sum(long nowNanos) {
        return sum(counts.length, nowNanos);
    }

    /** Returns the events of the last buckets, the current one included. */
    int sum(int buckets, long nowNanos) {
        slideTo(nowNanos);
        return Arrays.stream(counts, 0, buckets).sum();
    }

    private void slideTo(long nowNanos) {
        long passed = (nowNanos - bucketStartNanos) / bucketNanos;
        if (passed <= 0) {
            return;
        }
        int moved = (int) Math.min(counts.length, passed);
        System.arraycopy(counts, 0, counts, moved, counts.length - moved);
        Arrays.fill(counts, 0, moved, 0);
        bucketStartNanos += passed * bucketNanos;
    }
}
