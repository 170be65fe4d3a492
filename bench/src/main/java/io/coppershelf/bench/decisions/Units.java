package io.coppershelf.bench.decisions;

/** The time units of the simulation in nanoseconds. */
final class Units {
    static final long MICROS = 1_000;
    static final long MILLIS = 1_000 * MICROS;
    static final long SECONDS = 1_000 * MILLIS;

    private Units() {}

    /** Converts nanoseconds to seconds. */
    static double seconds(long nanos) {
        return (double) nanos / SECONDS;
    }
}
