package io.coppershelf.proxy;

import io.coppershelf.dispatch.TypicalLatency;
import java.util.OptionalLong;

/** Decides which requests a VM that is stopping still accepts. Confined to the traffic thread. */
final class StopDeadline {
    private OptionalLong deadlineNanos = OptionalLong.empty();

    /** Sets the monotonic time at which requests that still run are broken off. */
    void set(long nanos) {
        deadlineNanos = OptionalLong.of(nanos);
    }

    /** Returns whether a request of this latency, as far as it is known, is likely to end before the VM stops. */
    boolean allows(TypicalLatency latency, long nowNanos) {
        return deadlineNanos.isEmpty() || nowNanos + latency.likelyNanos() - deadlineNanos.getAsLong() <= 0;
    }
}
