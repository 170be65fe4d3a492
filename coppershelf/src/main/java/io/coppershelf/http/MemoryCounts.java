package io.coppershelf.http;

import java.util.concurrent.atomic.AtomicLong;

/** Counts what was done for lack of memory since the start. Updated on one thread, read on any. */
public final class MemoryCounts {
    private final AtomicLong paused = new AtomicLong();
    private final AtomicLong closed = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong peakBytes = new AtomicLong();
    private final AtomicLong maxBytes = new AtomicLong();

    void recordPaused() {
        paused.incrementAndGet();
    }

    void recordClosed() {
        closed.incrementAndGet();
    }

    void recordRefused() {
        refused.incrementAndGet();
    }

    void recordUsed(long bytes) {
        if (bytes > peakBytes.get()) {
            peakBytes.set(bytes);
        }
        if (bytes > maxBytes.get()) {
            maxBytes.set(bytes);
        }
    }

    /** Returns the largest memory that bodies took since the last call, in bytes. */
    public long pollPeakBytes() {
        return peakBytes.getAndSet(0);
    }

    /** Returns the largest memory that bodies ever took, in bytes. */
    public long maxBytes() {
        return maxBytes.get();
    }

    /** Returns how often the reading of a body was paused. */
    public long paused() {
        return paused.get();
    }

    /** Returns the number of connections that were closed. */
    public long closed() {
        return closed.get();
    }

    /** Returns the number of bodies that were refused before they were read. */
    public long refused() {
        return refused.get();
    }
}
