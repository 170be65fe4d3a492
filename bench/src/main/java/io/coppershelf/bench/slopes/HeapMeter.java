package io.coppershelf.bench.slopes;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Measures the heap that an object retains. */
final class HeapMeter {
    private static final int GC_RUNS = 3;

    private HeapMeter() {}

    /**
     * Returns the bytes retained by the object that the supplier creates.
     *
     * <p>The object is created on a separate thread, because a stack frame that has returned may keep the objects alive
     * to which it referred.
     */
    static double retainedBytes(Supplier<Object> creation) {
        return CompletableFuture.supplyAsync(
                        () -> measureGrowth(creation), task -> new Thread(task, "creation").start())
                .join();
    }

    private static double measureGrowth(Supplier<Object> creation) {
        long before = usedBytes();
        Object[] holder = {creation.get()};
        double growth = usedBytes() - before;
        holder[0] = null;
        return growth;
    }

    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
