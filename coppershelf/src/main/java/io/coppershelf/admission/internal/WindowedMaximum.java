package io.coppershelf.admission.internal;

import java.time.Duration;

/** The largest value recorded in the current and the previous time window. */
final class WindowedMaximum {
    private final long windowNanos;
    private long currentMaximum;
    private long previousMaximum;
    private long windowStartNanos;

    WindowedMaximum(Duration window) {
        this.windowNanos = window.toNanos();
    }

    void record(long value, long nowNanos) {
        if (nowNanos - windowStartNanos >= windowNanos) {
            previousMaximum = currentMaximum;
            currentMaximum = 0;
            windowStartNanos = nowNanos;
        }
        currentMaximum = Math.max(currentMaximum, value);
    }

    long value() {
        return Math.max(currentMaximum, previousMaximum);
    }
}
