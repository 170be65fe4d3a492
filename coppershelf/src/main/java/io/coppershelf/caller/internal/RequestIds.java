package io.coppershelf.caller.internal;

import java.util.concurrent.atomic.AtomicLong;

/** Gives ids to requests that are unique over the fleet: the VM, its start and a count. */
final class RequestIds {
    private static final int RADIX = 36;

    private final String prefix;
    private final AtomicLong count = new AtomicLong();

    RequestIds(String vm, long startMillis) {
        this.prefix = vm.replaceAll("[^A-Za-z0-9-]", "-") + "-" + Long.toString(startMillis, RADIX) + "-";
    }

    /** Returns the next id. */
    String next() {
        return prefix + Long.toString(count.incrementAndGet(), RADIX);
    }
}
