package io.coppershelf.proxy;

import io.coppershelf.dispatch.ServerPaths;
import io.coppershelf.dispatch.ServerReachability;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Starts the checks of the paths to servers when they become due: every 50 ms while a path is in doubt, else when the
 * silence of the servers may have lasted too long, as a timer that runs 20 times a second takes processor time on a VM
 * that has few requests. Runs on the traffic thread.
 */
final class PathCheckTimer {
    static final long CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final EventLoop loop;
    private final ServerReachability reachability;
    private final ServerPaths paths;
    private Runnable poll = () -> {};
    private Optional<ScheduledFuture<?>> next = Optional.empty();
    private long nextNanos;

    PathCheckTimer(EventLoop loop, ServerReachability reachability, ServerPaths paths) {
        this.loop = loop;
        this.reachability = reachability;
        this.paths = paths;
    }

    /** Starts the timer; any thread may call this. */
    void start(Runnable checks) {
        loop.execute(() -> {
            poll = checks;
            schedule(CHECK_NANOS);
        });
    }

    /** Makes the next run soon, after a connection has failed. */
    void connectionFailed() {
        if (next.isPresent() && nextNanos - System.nanoTime() > CHECK_NANOS) {
            next.get().cancel(false);
            schedule(CHECK_NANOS);
        }
    }

    /** Returns the time until the next run. */
    static long delayNanos(ServerReachability reachability, ServerPaths paths, long nowNanos) {
        boolean isQuiet = paths.isAllClear() && !reachability.isInDoubt() && !reachability.isCutOff();
        return isQuiet ? Math.max(CHECK_NANOS, reachability.nanosToSilence(nowNanos)) : CHECK_NANOS;
    }

    private void run() {
        try {
            poll.run();
        } finally {
            schedule(delayNanos(reachability, paths, System.nanoTime()));
        }
    }

    private void schedule(long delayNanos) {
        nextNanos = System.nanoTime() + delayNanos;
        next = Optional.of(loop.schedule(this::run, delayNanos, TimeUnit.NANOSECONDS));
    }
}
