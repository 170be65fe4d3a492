package io.coppershelf.proxy;

/** Bounds the memory that the bodies of all requests under way take together. Belongs to the traffic thread. */
final class BodyMemory {
    private final long limitBytes;
    private long usedBytes;

    BodyMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Takes memory for some bytes; returns whether there was enough. */
    boolean tryReserve(int bytes) {
        if (usedBytes + bytes > limitBytes) {
            return false;
        }
        usedBytes += bytes;
        return true;
    }

    /** Gives memory back. */
    void release(long bytes) {
        usedBytes -= bytes;
    }
}
