package io.coppershelf.routing.internal;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Schedules the hedge, the send cutoff and the deadline of requests. */
final class RequestTimers implements AutoCloseable {
    private static final Duration MAX_MARGIN = Duration.ofMillis(30);
    private static final int MARGIN_DIVISOR = 20;

    /** Disabled, as cancelling the slower attempt can delay other attempts until their deadline. */
    private static final boolean IS_HEDGING_ENABLED = false;

    private final ScheduledThreadPoolExecutor executor;

    RequestTimers() {
        executor = new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "routing-timer"));
        executor.setRemoveOnCancelPolicy(true);
    }

    /** Schedules the timers of a request; they are cancelled when its result is complete. */
    void schedule(RoutedRequest request, long remainingNanos, OptionalLong hedgeNanos) {
        long margin = Math.min(MAX_MARGIN.toNanos(), remainingNanos / MARGIN_DIVISOR);
        schedule(request, remainingNanos - margin, new RequestEvent.SendCutoffReached());
        schedule(request, remainingNanos, new RequestEvent.DeadlinePassed());
        if (IS_HEDGING_ENABLED && hedgeNanos.isPresent() && hedgeNanos.getAsLong() < remainingNanos) {
            schedule(request, hedgeNanos.getAsLong(), new RequestEvent.HedgeDue());
        }
    }

    private void schedule(RoutedRequest request, long delayNanos, RequestEvent event) {
        Future<?> timer = executor.schedule(() -> request.on(event), delayNanos, TimeUnit.NANOSECONDS);
        var unused = request.result().thenAccept(result -> timer.cancel(false));
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
