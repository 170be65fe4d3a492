package io.coppershelf.caller.internal;

import java.util.concurrent.atomic.AtomicLong;

/** Generates request ids that are unique across the fleet, from the VM, its start time and a counter. */
final class RequestIds {
    private static final int RADIX = 36;

    private final String prefix;
    private final AtomicLong counter = new AtomicLong();

    RequestIds(String vm, long startMillis) {
        this.prefix = vm.replaceAll("[^A-Za-z0-9-]", "-") + "-" + Long.toString(startMillis, RADIX) + "-";
    }

    /** Returns the next id. */
    String next() {
        return prefix + Long.toString(counter.incrementAndGet(), RADIX);
    }
}
