package io.coppershelf.http;

import java.util.Optional;

/**
 * The memory for bodies in transit.
 *
 * @param bytes the memory for the bodies of all requests and answers, in bytes
 * @param isStated whether it follows from a stated memory; then the send buffers of sockets and the large bodies at
 *     each server are bounded as well
 */
public record BodyLimit(long bytes, boolean isStated) {
    private static final long MEGABYTE = 1024L * 1024;

    /**
     * The limit without a stated memory: under a third of the heap of 128 MB that deployments configure, since a body
     * that is copied exists twice for a moment.
     */
    public static final BodyLimit DEFAULT = new BodyLimit(40 * MEGABYTE, false);

    /** Share of the heap for bodies; 40 of 128 MB, as without a stated memory. */
    private static final double HEAP_SHARE = 40.0 / 128;
    /** Memory of the process besides heap and bodies: classes, compiled code, stacks and buffers of sockets. */
    private static final long PROCESS_BYTES = 80 * MEGABYTE;
    /** Share for bodies of the memory that is left; buffers outside the heap and of the kernel take the rest. */
    private static final double REST_SHARE = 0.5;
    /** Smallest limit; below it a few large answers would keep each other waiting. */
    private static final long MIN_BYTES = 8 * MEGABYTE;

    /**
     * Returns the limit for a VM.
     *
     * @param memoryMegabytes the memory above which the process is killed, empty if none is stated
     * @param heapBytes the largest size of the heap
     */
    public static BodyLimit of(Optional<Integer> memoryMegabytes, long heapBytes) {
        if (memoryMegabytes.isEmpty()) {
            return DEFAULT;
        }
        double restBytes = REST_SHARE * (memoryMegabytes.get() * MEGABYTE - heapBytes - PROCESS_BYTES);
        long bytes = (long) Math.min(HEAP_SHARE * heapBytes, restBytes);
        return new BodyLimit(Math.max(MIN_BYTES, bytes), true);
    }
}
