package io.coppershelf.backend.internal;

import io.coppershelf.backend.BackendClient;
import io.coppershelf.backend.BackendRequest;
import io.coppershelf.backend.BackendResult;
import io.coppershelf.backend.BackendResult.Answer;
import io.coppershelf.backend.BackendResult.ServerState;
import io.coppershelf.backend.HeaderRules;
import io.coppershelf.component.TimeSource;
import io.coppershelf.outcome.ErrorKind;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * An attempt in flight. Its result is set once: by the answer, by a failure, or by the server's reply to a
 * cancellation.
 */
final class HttpAttempt implements BackendClient.Exchange {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final BackendRequest request;
    private final HttpClientHolder clientHolder;
    private final ConnectionLimits limits;
    private final TimeSource time;
    private final CompletableFuture<BackendResult> result = new CompletableFuture<>();
    private final AtomicBoolean isCancelled = new AtomicBoolean();
    private volatile Optional<ErrorKind> abortKind = Optional.empty();
    private final AnswerHandler handler;
    private volatile CompletableFuture<HttpResponse<byte[]>> exchange = new CompletableFuture<>();

    HttpAttempt(BackendRequest request, HttpClientHolder clientHolder, ConnectionLimits limits, TimeSource time) {
        this.request = request;
        this.clientHolder = clientHolder;
        this.limits = limits;
        this.time = time;
        this.handler = new AnswerHandler(request);
    }

    /** Sends the attempt, unless its deadline has passed or all connections to the server are in use. */
    void start() {
        Semaphore permit = limits.forAttempts(request.server());
        if (!permit.tryAcquire()) {
            end(ErrorKind.OVERLOADED);
            return;
        }
        long remainingMillis = (request.deadlineNanos() - time.nanos()) / NANOS_PER_MILLI;
        if (remainingMillis < 1) {
            permit.release();
            end(ErrorKind.DEADLINE_BEFORE_RUN);
            return;
        }
        send(remainingMillis, permit);
    }

    private void send(long remainingMillis, Semaphore permit) {
        try {
            HttpRequest httpRequest = ServerProtocol.attemptRequest(request, remainingMillis);
            exchange = clientHolder.current().sendAsync(httpRequest, handler);
        } catch (IllegalArgumentException e) {
            permit.release();
            end(ErrorKind.MALFORMED_REQUEST);
            return;
        }
        var unused = exchange.whenComplete((answer, failure) -> {
            permit.release();
            end(failure == null ? answered(answer) : failed(failure));
        });
    }

    private static BackendResult answered(HttpResponse<byte[]> answer) {
        ServerState state = ServerProtocol.state(answer.headers());
        if (ServerProtocol.isNotStarted(answer.headers()) && answer.statusCode() == 503) {
            return BackendResult.failed(ErrorKind.SERVER_REFUSED, state);
        }
        if (ServerProtocol.isNotStarted(answer.headers()) && answer.statusCode() == 504) {
            return BackendResult.failed(ErrorKind.DEADLINE_BEFORE_RUN, state);
        }
        Answer complete = new Answer(
                answer.statusCode(), HeaderRules.forwardable(answer.headers().map()), answer.body());
        return BackendResult.answered(complete, state);
    }

    private BackendResult failed(Throwable failure) {
        if (abortKind.isPresent()) {
            return BackendResult.failed(abortKind.get(), ServerState.UNSTATED);
        }
        ErrorKind kind = FailureKinds.of(failure, handler.isHeadReceived());
        if (kind == ErrorKind.ANSWER_FOREIGN) {
            clientHolder.replace();
        }
        return BackendResult.failed(kind, ServerState.UNSTATED);
    }

    @Override
    public CompletableFuture<BackendResult> result() {
        return result;
    }

    @Override
    public void cancel(Duration limit) {
        if (result.isDone() || !isCancelled.compareAndSet(false, true)) {
            return;
        }
        Semaphore permit = limits.forControl(request.server());
        if (limit.isZero() || limit.isNegative() || !permit.tryAcquire()) {
            abort(ErrorKind.DEADLINE_PASSED);
            return;
        }
        var unused = clientHolder
                .current()
                .sendAsync(ServerProtocol.cancelRequest(request, limit), BodyHandlers.discarding())
                .whenComplete((answer, failure) -> {
                    permit.release();
                    handleCancelAnswer(answer, limit);
                });
    }

    private void handleCancelAnswer(HttpResponse<?> answer, Duration limit) {
        boolean isValid = answer != null
                && answer.statusCode() == 200
                && ServerProtocol.belongsTo(answer.headers(), request.attemptId());
        if (isValid && ServerProtocol.isNotStarted(answer.headers())) {
            abort(ErrorKind.DEADLINE_BEFORE_RUN);
            return;
        }
        if (isValid && ServerProtocol.isFinished(answer.headers())) {
            CompletableFuture.delayedExecutor(limit.toNanos(), TimeUnit.NANOSECONDS)
                    .execute(() -> abort(ErrorKind.DEADLINE_PASSED));
            return;
        }
        abort(ErrorKind.DEADLINE_PASSED);
    }

    /**
     * Closes the connection of the attempt and sets the result, unless the answer has already set it.
     *
     * <p>The JDK's client closes the connection of a cancelled exchange even if the connection has returned to the pool
     * and serves another exchange. So once the head has been received, only the reading of the body is stopped.
     */
    private void abort(ErrorKind kind) {
        abortKind = Optional.of(kind);
        if (handler.isHeadReceived()) {
            handler.abandon();
        } else {
            exchange.cancel(true);
        }
        end(kind);
    }

    private void end(ErrorKind kind) {
        end(BackendResult.failed(kind, ServerState.UNSTATED));
    }

    private void end(BackendResult outcome) {
        result.complete(outcome);
    }
}
