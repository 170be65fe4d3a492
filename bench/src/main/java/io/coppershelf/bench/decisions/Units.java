package io.coppershelf.bench.decisions;

/** Nanoseconds of the units that the bench uses. */
final class Units {
    static final long MICROS = 1_000;
    static final long MILLIS = 1_000 * MICROS;
    static final long SECONDS = 1_000 * MILLIS;

    private Units() {}

    /** Returns the nanoseconds as seconds. */
    static double seconds(long nanos) {
        return (double) nanos / SECONDS;
    }
}
