package io.coppershelf.operator.internal;

import io.coppershelf.component.TimeSource;
import io.coppershelf.operator.HybridClock;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/** A hybrid logical clock over the wall clock of this machine. */
public final class HybridLogicalClock implements HybridClock {
    /** The maximum lead of an observed stamp over the wall clock. */
    public static final Duration MAX_AHEAD = Duration.ofMinutes(1);

    private final TimeSource time;
    private final AtomicLong last = new AtomicLong();

    /** Creates a clock that reads wall time from the given source. */
    public HybridLogicalClock(TimeSource time) {
        this.time = time;
    }

    @Override
    public long stamp() {
        long wall = time.wallMillis() << COUNTER_BITS;
        return last.updateAndGet(before -> Math.max(before + 1, wall));
    }

    @Override
    public void observe(long stamp) {
        if (HybridClock.millis(stamp) > time.wallMillis() + MAX_AHEAD.toMillis()) {
            return;
        }
        last.accumulateAndGet(stamp, Math::max);
    }
}
