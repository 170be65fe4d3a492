package io.coppershelf.bench.slopes;

import java.lang.ref.Reference;
import java.util.function.Supplier;

/** Measures the heap that an object retains. */
final class HeapMeter {
    private static final int COLLECTIONS = 3;

    private HeapMeter() {}

    /** Returns the bytes retained by what the supplier creates. */
    static double retainedBytes(Supplier<Object> creation) {
        long before = usedBytes();
        Object created = creation.get();
        try {
            return usedBytes() - before;
        } finally {
            Reference.reachabilityFence(created);
        }
    }

    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
