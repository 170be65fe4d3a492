package io.coppershelf.http;

import java.util.concurrent.TimeUnit;

/** A body in transit and the memory that it takes. Confined to the thread of its memory. */
public final class HeldBody {
    /** Time without any byte, while a body is read, after which no more are expected. */
    private static final long STALLED_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Time of reading after which the rate of a body is known. */
    private static final long RATE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final BodyMemory memory;
    private final BodyKind kind;
    private final BodyOwner owner;
    private final String service;
    private final long number;
    private final long startNanos;
    private long lastMoveNanos;
    private long pausedSinceNanos;
    private long pausedNanos;
    private long heldBytes;
    private long reservedBytes;
    private long movedBytes;
    private long expectedBytes;
    private boolean isReading;
    private boolean isPaused;
    private boolean hasPaused;

    HeldBody(BodyMemory memory, BodyKind kind, BodyOwner owner, String service, long number, long nowNanos) {
        this.memory = memory;
        this.kind = kind;
        this.owner = owner;
        this.service = service;
        this.number = number;
        startNanos = nowNanos;
        lastMoveNanos = nowNanos;
        isReading = kind != BodyKind.DELIVERY;
    }

    /**
     * Reserves memory for a body of that length before it is read; returns whether there was enough.
     *
     * @param length the stated length; 0 if none is stated
     */
    public boolean tryReserve(long length) {
        expectedBytes = length;
        if (!memory.tryAccept(this, length)) {
            return false;
        }
        reservedBytes = length;
        return true;
    }

    /**
     * Starts the reading of a body for which no memory is reserved.
     *
     * @param length the stated length; 0 if none is stated
     */
    public void expect(long length) {
        expectedBytes = length;
        memory.hold(this, 0);
    }

    /**
     * Counts bytes that were received; returns whether the body may be continued. If reading pauses while memory is
     * short, only an answer without a stated length may not.
     */
    public boolean received(long bytes) {
        lastMoveNanos = memory.nowNanos();
        movedBytes += bytes;
        long unreserved = Math.max(0, bytes - reservedBytes);
        reservedBytes -= bytes - unreserved;
        return memory.add(this, unreserved);
    }

    /** Counts a complete body that has to be delivered, also beyond the limit. */
    public void hold(long bytes) {
        expectedBytes = bytes;
        memory.hold(this, bytes);
    }

    /** Releases bytes that were written. */
    public void written(long bytes) {
        lastMoveNanos = memory.nowNanos();
        movedBytes += bytes;
        memory.release(this, bytes);
    }

    /** Records that the body is complete; it takes its memory until it is released. */
    public void completed() {
        memory.readingEnded(this);
    }

    /** Releases the memory of the body. */
    public void release() {
        memory.remove(this);
    }

    /** Returns whether reading is paused. */
    public boolean isPaused() {
        return isPaused;
    }

    /** Returns whether reading was ever paused. */
    public boolean hasPaused() {
        return hasPaused;
    }

    /**
     * Returns whether the rest of the body can be expected within a time: its length is known, and its rate so far, the
     * pauses left out, is high enough. A body of unknown length may have no end.
     */
    public boolean isEndExpectedWithin(long nanos) {
        if (!isLengthKnown()) {
            return false;
        }
        long now = memory.nowNanos();
        if (!isPaused && now - lastMoveNanos > STALLED_NANOS) {
            return false;
        }
        long readingNanos = (isPaused ? pausedSinceNanos : now) - startNanos - pausedNanos;
        if (readingNanos < RATE_NANOS) {
            return true;
        }
        long remainingBytes = Math.max(0, expectedBytes - movedBytes);
        double remainingNanos = (double) remainingBytes / Math.max(1, movedBytes) * readingNanos;
        return remainingNanos <= nanos;
    }

    BodyKind kind() {
        return kind;
    }

    BodyOwner owner() {
        return owner;
    }

    String service() {
        return service;
    }

    long number() {
        return number;
    }

    long heldBytes() {
        return heldBytes;
    }

    boolean isLengthKnown() {
        return expectedBytes > 0;
    }

    boolean isReading() {
        return isReading;
    }

    boolean isLarge() {
        return Math.max(heldBytes, expectedBytes) > MemoryPolicy.SMALL_BYTES;
    }

    void addHeld(long bytes) {
        heldBytes += bytes;
    }

    /** Ends the reading of the body; the connection continues to be read. */
    void stopReading() {
        isReading = false;
        setPaused(false);
    }

    /** Pauses or continues reading; returns whether this is a change. */
    boolean setPaused(boolean pause) {
        if (pause == isPaused) {
            return false;
        }
        isPaused = pause;
        hasPaused |= pause;
        long now = memory.nowNanos();
        if (pause) {
            pausedSinceNanos = now;
        } else {
            pausedNanos += now - pausedSinceNanos;
            lastMoveNanos = now;
        }
        owner.setReading(!pause);
        return true;
    }

    /** Returns the memory that the rest of the body takes, that of one read if its length is unknown. */
    long remainingBytes() {
        // Reserved bytes are counted already, so that reading them takes no further memory.
        return isLengthKnown() ? Math.max(0, expectedBytes - movedBytes - reservedBytes) : MemoryPolicy.READ_BYTES;
    }

    BodyState state(long nowNanos) {
        return new BodyState(
                number,
                kind,
                isReading,
                isLarge(),
                heldBytes,
                Math.min(remainingBytes(), MemoryPolicy.READ_BYTES),
                remainingBytes(),
                movedBytes,
                nowNanos - startNanos,
                nowNanos - lastMoveNanos,
                service,
                isLengthKnown());
    }
}
