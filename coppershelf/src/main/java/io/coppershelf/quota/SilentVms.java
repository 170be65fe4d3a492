package io.coppershelf.quota;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The VMs that have not answered requests for tokens: they are down, cut off or run the earlier build. */
final class SilentVms {
    /** Time for which a VM that did not answer is not asked. */
    private static final long SKIP_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Requests in a row without an answer of any VM after which this VM seems to be cut off from the fleet. */
    private static final int MAX_IN_A_ROW = 20;

    /** The times until which VMs are not asked; they are kept afterwards, until the VM answers. */
    private final Map<InetSocketAddress, Long> skippedUntil = new HashMap<>();

    private int inARow;

    /** Records that a VM did not answer a request and its repetition. */
    void recordSilence(InetSocketAddress vm, long nowNanos) {
        skippedUntil.put(vm, nowNanos + SKIP_NANOS);
        inARow++;
    }

    /** Records an answer. */
    void recordAnswer(InetSocketAddress vm) {
        skippedUntil.remove(vm);
        inARow = 0;
    }

    /** Returns whether a VM is not asked at present. */
    boolean isSkipped(InetSocketAddress vm, long nowNanos) {
        Long until = skippedUntil.get(vm);
        return until != null && nowNanos - until < 0;
    }

    /** Returns whether a VM did not answer the last request; the next one is not repeated then. */
    boolean wasSilent(InetSocketAddress vm) {
        return skippedUntil.containsKey(vm);
    }

    /** Returns whether this VM seems to be cut off; messages are not repeated then, since their number is bounded. */
    boolean isCutOff() {
        return inARow >= MAX_IN_A_ROW;
    }

    /** Removes the VMs that are not among these. */
    void retain(Set<InetSocketAddress> live) {
        skippedUntil.keySet().retainAll(live);
    }
}
