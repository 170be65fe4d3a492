package io.coppershelf.bench.slopes;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.function.LongConsumer;

/** Measures the processor time of a repeated task on the current thread. */
final class CpuMeter {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final double NANOS_PER_MICRO = 1e3;

    private CpuMeter() {}

    /** Returns the mean processor time of a run in microseconds, after the same number of warm-up runs. */
    static double microsPerRun(int runs, LongConsumer task) {
        for (long run = 0; run < runs; run++) {
            task.accept(run);
        }
        long before = THREADS.getCurrentThreadCpuTime();
        for (long run = runs; run < 2L * runs; run++) {
            task.accept(run);
        }
        return (THREADS.getCurrentThreadCpuTime() - before) / NANOS_PER_MICRO / runs;
    }
}
