package io.coppershelf.mesh;

import java.util.ArrayList;
import java.util.List;

/** Decides when the datagrams of a message to many VMs are sent. Free of I/O and clocks; not thread-safe. */
final class BroadcastPacer {
    /**
     * Datagrams that are sent together.
     *
     * @param delayNanos the time from now until they are sent
     * @param count the number of receivers, in their order
     */
    record Batch(long delayNanos, int count) {}

    /**
     * Returns the batches of a message.
     *
     * @param receivers the number of receivers
     * @param bytes the size of the message
     */
    List<Batch> plan(int receivers, int bytes, long nowNanos) {
        List<Batch> batches = new ArrayList<>();
        batches.add(new Batch(0, receivers));
        return batches;
    }
}
