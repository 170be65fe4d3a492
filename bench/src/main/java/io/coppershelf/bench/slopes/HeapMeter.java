package io.coppershelf.bench.slopes;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Measures the heap that an object retains. */
final class HeapMeter {
    private static final int COLLECTIONS = 3;

    private HeapMeter() {}

    /**
     * Returns the bytes retained by what the supplier creates.
     *
     * <p>It is created by a thread of its own, since a frame that has returned may keep alive what it pointed to.
     */
    static double retainedBytes(Supplier<Object> creation) {
        return CompletableFuture.supplyAsync(() -> growth(creation), task -> new Thread(task, "creation").start())
                .join();
    }

    private static double growth(Supplier<Object> creation) {
        long before = usedBytes();
        Object[] holder = {creation.get()};
        double growth = usedBytes() - before;
        holder[0] = null;
        return growth;
    }

    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
