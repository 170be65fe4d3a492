package io.coppershelf.admission.internal;

import java.time.Duration;

/** The largest value seen in the present and the last window of time. */
final class WindowedMaximum {
    private final long windowNanos;
    private long largest;
    private long largestBefore;
    private long startedNanos;

    WindowedMaximum(Duration window) {
        this.windowNanos = window.toNanos();
    }

    void record(long value, long nowNanos) {
        if (nowNanos - startedNanos >= windowNanos) {
            largestBefore = largest;
            largest = 0;
            startedNanos = nowNanos;
        }
        largest = Math.max(largest, value);
    }

    long value() {
        return Math.max(largest, largestBefore);
    }
}
