package io.coppershelf.admission.internal.runtime;

import io.coppershelf.admission.AttemptRequest;
import io.coppershelf.admission.AttemptResult;
import io.coppershelf.admission.AttemptSender.AttemptExchange;
import io.coppershelf.backend.BackendClient.Exchange;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * An attempt at the owner of its group: queued, then sent to a backend server, then ended. It is sent at most once, and
 * never after it ended.
 */
final class PendingAttempt implements AttemptExchange {
    private final AttemptRequest request;
    private final Consumer<PendingAttempt> onCancel;
    private final CompletableFuture<AttemptResult> result = new CompletableFuture<>();
    private boolean isQueued = true;
    private Optional<Exchange> exchange = Optional.empty();
    private Optional<Duration> cancelLimit = Optional.empty();

    PendingAttempt(AttemptRequest request, Consumer<PendingAttempt> onCancel) {
        this.request = request;
        this.onCancel = onCancel;
    }

    AttemptRequest request() {
        return request;
    }

    @Override
    public CompletableFuture<AttemptResult> result() {
        return result;
    }

    @Override
    public void cancel() {
        onCancel.accept(this);
    }

    /** Sends the attempt unless it has ended or was sent before; returns whether it was sent by this call. */
    boolean send(Supplier<Exchange> sender) {
        synchronized (this) {
            if (!isQueued) {
                return false;
            }
            isQueued = false;
        }
        Exchange sent = sender.get();
        Optional<Duration> limit;
        synchronized (this) {
            exchange = Optional.of(sent);
            limit = cancelLimit;
        }
        limit.ifPresent(sent::cancel);
        return true;
    }

    /** Cancels the attempt on its server, now or as soon as it is sent. */
    void cancelOnServer(Duration limit) {
        Optional<Exchange> sent;
        synchronized (this) {
            cancelLimit = Optional.of(limit);
            sent = exchange;
        }
        sent.ifPresent(present -> present.cancel(limit));
    }

    /** Ends the attempt if it is still queued; returns whether it was. */
    boolean endIfQueued(AttemptResult attemptResult) {
        synchronized (this) {
            if (!isQueued) {
                return false;
            }
            isQueued = false;
        }
        return result.complete(attemptResult);
    }

    /** Ends the attempt after it was sent. */
    void end(AttemptResult attemptResult) {
        result.complete(attemptResult);
    }
}
