package io.coppershelf.mesh;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Decides when the datagrams of a message to many VMs are sent: a burst at once, the rest at a bounded rate, since a
 * link drops what its queue does not hold. Free of I/O and clocks; not thread-safe.
 */
final class BroadcastPacer {
    /** Half of what the slowest links of the deployments carry; the other half is left for the traffic of callers. */
    private static final long BYTES_PER_SECOND = 400_000;

    private static final long BURST_BYTES = 8 * 1024;
    /** Interval between two batches; a shorter one costs more wake-ups. */
    private static final long BATCH_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The time at which the link has carried all that was sent so far. */
    private long carriedAtNanos;

    private boolean hasSent;

    /**
     * Datagrams that are sent together.
     *
     * @param delayNanos the time from now until they are sent
     * @param count the number of receivers, in their order
     */
    record Batch(long delayNanos, int count) {}

    /**
     * Returns the batches of a message. They follow those of earlier messages.
     *
     * @param receivers the number of receivers
     * @param bytes the size of the message
     * @see <a href="https://www.itu.int/rec/T-REC-I.371">ITU-T I.371, generic cell rate algorithm</a>
     */
    List<Batch> plan(int receivers, int bytes, long nowNanos) {
        long costNanos = bytes * SECOND_NANOS / BYTES_PER_SECOND;
        long burstNanos = BURST_BYTES * SECOND_NANOS / BYTES_PER_SECOND;
        if (!hasSent || carriedAtNanos - nowNanos < 0) {
            carriedAtNanos = nowNanos;
            hasSent = true;
        }
        List<Batch> batches = new ArrayList<>();
        for (int i = 0; i < receivers; i++) {
            carriedAtNanos += costNanos;
            add(batches, Math.max(0, carriedAtNanos - nowNanos - burstNanos));
        }
        return batches;
    }

    private static void add(List<Batch> batches, long earliestNanos) {
        long delayNanos = (earliestNanos + BATCH_NANOS - 1) / BATCH_NANOS * BATCH_NANOS;
        int last = batches.size() - 1;
        if (last >= 0 && batches.get(last).delayNanos == delayNanos) {
            batches.set(last, new Batch(delayNanos, batches.get(last).count + 1));
        } else {
            batches.add(new Batch(delayNanos, 1));
        }
    }
}
