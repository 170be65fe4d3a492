package io.coppershelf.proxy;

/** Bounds the total memory for the bodies of all requests in flight. Confined to the traffic thread. */
final class BodyMemory {
    private final long limitBytes;
    private long usedBytes;

    BodyMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Reserves memory for some bytes; returns whether there was enough. */
    boolean tryReserve(int bytes) {
        if (usedBytes + bytes > limitBytes) {
            return false;
        }
        usedBytes += bytes;
        return true;
    }

    /** Releases reserved memory. */
    void release(long bytes) {
        usedBytes -= bytes;
    }
}
