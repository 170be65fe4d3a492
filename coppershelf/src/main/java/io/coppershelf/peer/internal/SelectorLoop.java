package io.coppershelf.peer.internal;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;

/** The single thread that reads and writes the sockets of peers. */
final class SelectorLoop {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int READ_BUFFER_BYTES = 64 * 1024;
    private static final long BUSY_SWEEP_INTERVAL_MILLIS = 10;
    private static final long IDLE_SWEEP_INTERVAL_MILLIS = 250;

    private final Selector selector;
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    private final Runnable sweep;
    private final BooleanSupplier isBusy;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean isWakeupPending = new AtomicBoolean();
    private final Thread thread = new Thread(this::run, "peer-io");
    private volatile boolean isStopping;
    private long lastSweepNanos = System.nanoTime();

    /**
     * Creates a loop that is not yet running.
     *
     * @param sweep run on the thread of the loop, at shorter intervals while busy
     * @param isBusy whether requests are in flight
     */
    SelectorLoop(Selector selector, Runnable sweep, BooleanSupplier isBusy) {
        this.selector = selector;
        this.sweep = sweep;
        this.isBusy = isBusy;
        thread.setDaemon(true);
    }

    Selector selector() {
        return selector;
    }

    /**
     * Clears and returns the buffer into which all channels are read; its content must be consumed before the next
     * read.
     */
    ByteBuffer readBuffer() {
        return readBuffer.clear();
    }

    void start() {
        thread.start();
    }

    /** Runs the task on the thread of the loop. */
    void execute(Runnable task) {
        tasks.add(task);
        if (isWakeupPending.compareAndSet(false, true)) {
            selector.wakeup();
        }
    }

    /** Stops the thread after the tasks that were submitted before. */
    void stop() {
        execute(() -> isStopping = true);
        try {
            thread.join(TimeUnit.SECONDS.toMillis(5));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        while (!isStopping) {
            try {
                runOnce();
            } catch (IOException | RuntimeException e) {
                logger.atSevere().withCause(e).atMostEvery(1, TimeUnit.MINUTES).log("[peer] The selector failed.");
            }
        }
    }

    private void runOnce() throws IOException {
        selector.select(isBusy.getAsBoolean() ? BUSY_SWEEP_INTERVAL_MILLIS : IDLE_SWEEP_INTERVAL_MILLIS);
        isWakeupPending.set(false);
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
        for (SelectionKey key : selector.selectedKeys()) {
            handle(key);
        }
        selector.selectedKeys().clear();
        if (System.nanoTime() - lastSweepNanos >= TimeUnit.MILLISECONDS.toNanos(BUSY_SWEEP_INTERVAL_MILLIS)) {
            lastSweepNanos = System.nanoTime();
            sweep.run();
        }
    }

    private static void handle(SelectionKey key) {
        ChannelHandler handler = (ChannelHandler) key.attachment();
        try {
            handler.onReady(key);
        } catch (IOException | CancelledKeyException e) {
            handler.onFailure();
        }
    }

    /** Handles the operations of a channel, on the thread of the loop. */
    interface ChannelHandler {
        /** Performs the operations for which the channel is ready. */
        void onReady(SelectionKey key) throws IOException;

        /** Closes the channel after a failure. */
        void onFailure();
    }
}
