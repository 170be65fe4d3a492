package io.coppershelf.peer.internal;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** The threads on which messages are decoded and handled and replies are completed. */
final class TrafficThreads {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_BACKLOG = 20_000;

    private final ExecutorService executor;
    private final AtomicInteger backlog = new AtomicInteger();

    TrafficThreads(int count) {
        AtomicInteger number = new AtomicInteger();
        executor = Executors.newFixedThreadPool(Math.max(1, count), task -> {
            Thread thread = new Thread(task, "peer-traffic-" + number.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Runs the task, or returns false if too many tasks are queued. */
    boolean offer(Runnable task) {
        if (backlog.get() >= MAX_BACKLOG) {
            return false;
        }
        execute(task);
        return true;
    }

    /** Runs the task, however many are queued; after {@link #stop}, on the calling thread. */
    void execute(Runnable task) {
        backlog.incrementAndGet();
        Runnable countedTask = () -> run(task);
        if (executor.isShutdown()) {
            countedTask.run();
            return;
        }
        executor.execute(countedTask);
    }

    void stop() {
        executor.shutdown();
    }

    private void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).atMostEvery(1, TimeUnit.MINUTES).log("[peer] A task failed.");
        } finally {
            backlog.decrementAndGet();
        }
    }
}
