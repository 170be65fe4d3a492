package io.coppershelf.routing.internal;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Tells requests when to hedge, when to give up and when their deadline is here. */
final class RequestTimers implements AutoCloseable {
    private static final Duration LONGEST_MARGIN = Duration.ofMillis(30);
    private static final int MARGIN_FRACTION = 20;

    /** Off as long as cancelling the slower try may hold up other tries until their deadline. */
    private static final boolean IS_HEDGING = false;

    private final ScheduledThreadPoolExecutor executor;

    RequestTimers() {
        executor = new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "routing-timer"));
        executor.setRemoveOnCancelPolicy(true);
    }

    /** Sets the timers of a request; they end when its result is there. */
    void schedule(RoutedRequest run, long remainingNanos, OptionalLong hedgeNanos) {
        long margin = Math.min(LONGEST_MARGIN.toNanos(), remainingNanos / MARGIN_FRACTION);
        schedule(run, remainingNanos - margin, new RequestEvent.SendCutoffReached());
        schedule(run, remainingNanos, new RequestEvent.DeadlinePassed());
        if (IS_HEDGING && hedgeNanos.isPresent() && hedgeNanos.getAsLong() < remainingNanos) {
            schedule(run, hedgeNanos.getAsLong(), new RequestEvent.HedgeDue());
        }
    }

    private void schedule(RoutedRequest run, long delayNanos, RequestEvent event) {
        Future<?> timer = executor.schedule(() -> run.on(event), delayNanos, TimeUnit.NANOSECONDS);
        var unused = run.result().thenAccept(result -> timer.cancel(false));
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
