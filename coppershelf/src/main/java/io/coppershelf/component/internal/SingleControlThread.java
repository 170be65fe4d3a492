package io.coppershelf.component.internal;

import com.google.common.flogger.FluentLogger;
import io.coppershelf.component.ControlThread;
import java.time.Duration;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * A control thread backed by a single-threaded scheduled executor. Tasks submitted after {@link #close} are dropped.
 */
public final class SingleControlThread implements ControlThread, AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final ScheduledThreadPoolExecutor executor;

    /** Starts the thread. */
    public SingleControlThread() {
        executor = new ScheduledThreadPoolExecutor(
                1, task -> new Thread(task, "control"), new ThreadPoolExecutor.DiscardPolicy());
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    @Override
    public void execute(Runnable task) {
        executor.execute(() -> run(task));
    }

    @Override
    public void after(Duration delay, Runnable task) {
        var unused = executor.schedule(() -> run(task), delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    @Override
    public void every(Duration interval, Runnable task) {
        var unused = executor.scheduleWithFixedDelay(
                () -> run(task), interval.toNanos(), interval.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Ends the thread after the current task. */
    @Override
    public void close() {
        executor.shutdown();
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("[control] A control task failed.");
        }
    }
}
