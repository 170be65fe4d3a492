package io.coppershelf.bench.slopes;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.function.LongConsumer;

/** Measures the processor time of a repeated piece of work on this thread. */
final class CpuMeter {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final double NANOS_PER_MICRO = 1e3;

    private CpuMeter() {}

    /** Returns the processor time of one run in microseconds, after as many runs to warm up. */
    static double microsPerRun(int runs, LongConsumer work) {
        for (long run = 0; run < runs; run++) {
            work.accept(run);
        }
        long before = THREADS.getCurrentThreadCpuTime();
        for (long run = runs; run < 2L * runs; run++) {
            work.accept(run);
        }
        return (THREADS.getCurrentThreadCpuTime() - before) / NANOS_PER_MICRO / runs;
    }
}
