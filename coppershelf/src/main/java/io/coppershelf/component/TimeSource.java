package io.coppershelf.component;

/** The clock of a process. Decision code does not read it; it receives the time of each event as an argument. */
public interface TimeSource {
    ComponentKey<TimeSource> NAME = ComponentKey.named("time", TimeSource.class);

    /** Returns a monotonic time in nanoseconds; only differences have a meaning. */
    long nanos();

    /** Returns the wall clock in milliseconds since 1970, for reports only. */
    long wallMillis();

    /** Returns the clock of this machine. */
    static TimeSource system() {
        return new TimeSource() {
            @Override
            public long nanos() {
                return System.nanoTime();
            }

            @Override
            public long wallMillis() {
                return System.currentTimeMillis();
            }
        };
    }
}
