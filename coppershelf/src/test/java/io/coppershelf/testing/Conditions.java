package io.coppershelf.testing;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for conditions that other threads bring about. */
public final class Conditions {
    private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(30);

    private Conditions() {}

    /** Waits until the condition holds, and fails if it does not in time. */
    public static void await(BooleanSupplier condition) {
        long start = System.nanoTime();
        while (!condition.getAsBoolean() && System.nanoTime() - start < LIMIT_NANOS) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
        }
        assertWithMessage("the condition holds").that(condition.getAsBoolean()).isTrue();
    }
}
