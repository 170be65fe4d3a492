package io.coppershelf.operator;

import io.coppershelf.component.ComponentKey;

/**
 * A hybrid logical clock: its stamps order causes before effects across all processes, and stay close to wall time. A
 * stamp has the wall time in milliseconds in its upper 48 bits and a counter in its lower 16. Thread-safe.
 *
 * @see <a href="https://cse.buffalo.edu/tech-reports/2014-04.pdf">Kulkarni et al., Logical Physical Clocks and
 *     Consistent Snapshots in Globally Distributed Databases, 2014</a>
 */
public interface HybridClock {
    ComponentKey<HybridClock> NAME = ComponentKey.named("clock", HybridClock.class);

    /** The number of bits of the counter. */
    int COUNTER_BITS = 16;

    /** Returns the stamp of an event now; each stamp is greater than all returned or observed before. */
    long stamp();

    /**
     * Observes the stamp of a message from another process, so that later stamps are greater; a stamp that is too far
     * ahead is ignored.
     */
    void observe(long stamp);

    /** Returns the wall time of a stamp in milliseconds since 1970. */
    static long millis(long stamp) {
        return stamp >>> COUNTER_BITS;
    }
}
