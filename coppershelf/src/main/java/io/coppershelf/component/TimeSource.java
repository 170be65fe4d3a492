package io.coppershelf.component;

/** Where a process reads its time; decisions never do, they are handed the time of each event. */
public interface TimeSource {
    ComponentKey<TimeSource> NAME = ComponentKey.named("time", TimeSource.class);

    /** Returns a monotonic time in nanoseconds; only differences have a meaning. */
    long nanos();

    /** Returns the wall clock in milliseconds since 1970, for reports only. */
    long wallMillis();

    /** Returns the time of the running machine. */
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
