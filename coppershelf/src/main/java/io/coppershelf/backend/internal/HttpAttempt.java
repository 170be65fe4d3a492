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
 * One try on its way. Its result is set once: by the answer, by a failure, or by what the server says when asked to
 * cancel.
 */
final class HttpAttempt implements BackendClient.Exchange {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final BackendRequest request;
    private final HttpClientHolder clients;
    private final ConnectionLimits connections;
    private final TimeSource time;
    private final CompletableFuture<BackendResult> result = new CompletableFuture<>();
    private final AtomicBoolean isCancelled = new AtomicBoolean();
    private volatile Optional<ErrorKind> givenUpAs = Optional.empty();
    private final AnswerHandler handler;
    private volatile CompletableFuture<HttpResponse<byte[]>> http = new CompletableFuture<>();

    HttpAttempt(BackendRequest request, HttpClientHolder clients, ConnectionLimits connections, TimeSource time) {
        this.request = request;
        this.clients = clients;
        this.connections = connections;
        this.time = time;
        this.handler = new AnswerHandler(request);
    }

    /** Sends the try, unless it is too late or the server has no connection left for it. */
    void start() {
        Semaphore connection = connections.forAttempts(request.server());
        if (!connection.tryAcquire()) {
            end(ErrorKind.OVERLOADED);
            return;
        }
        long remainingMillis = (request.deadlineNanos() - time.nanos()) / NANOS_PER_MILLI;
        if (remainingMillis < 1) {
            connection.release();
            end(ErrorKind.DEADLINE_BEFORE_RUN);
            return;
        }
        sendNow(remainingMillis, connection);
    }

    private void sendNow(long remainingMillis, Semaphore connection) {
        try {
            HttpRequest httpRequest = ServerProtocol.attemptRequest(request, remainingMillis);
            http = clients.current().sendAsync(httpRequest, handler);
        } catch (IllegalArgumentException e) {
            connection.release();
            end(ErrorKind.MALFORMED_REQUEST);
            return;
        }
        var unused = http.whenComplete((answer, failure) -> {
            connection.release();
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
        Answer whole = new Answer(
                answer.statusCode(), HeaderRules.forwardable(answer.headers().map()), answer.body());
        return BackendResult.answered(whole, state);
    }

    private BackendResult failed(Throwable failure) {
        if (givenUpAs.isPresent()) {
            return BackendResult.failed(givenUpAs.get(), ServerState.UNSTATED);
        }
        ErrorKind kind = FailureKinds.of(failure, handler.isHeadReceived());
        if (kind == ErrorKind.ANSWER_FOREIGN) {
            clients.replace();
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
        Semaphore connection = connections.forControl(request.server());
        if (limit.isZero() || limit.isNegative() || !connection.tryAcquire()) {
            giveUp(ErrorKind.DEADLINE_PASSED);
            return;
        }
        var unused = clients.current()
                .sendAsync(ServerProtocol.cancelRequest(request, limit), BodyHandlers.discarding())
                .whenComplete((answer, failure) -> {
                    connection.release();
                    hearCancelAnswer(answer, limit);
                });
    }

    private void hearCancelAnswer(HttpResponse<?> answer, Duration limit) {
        boolean isTrusted = answer != null
                && answer.statusCode() == 200
                && ServerProtocol.belongsTo(answer.headers(), request.attemptId());
        if (isTrusted && ServerProtocol.isNotStarted(answer.headers())) {
            giveUp(ErrorKind.DEADLINE_BEFORE_RUN);
            return;
        }
        if (isTrusted && ServerProtocol.isFinished(answer.headers())) {
            CompletableFuture.delayedExecutor(limit.toNanos(), TimeUnit.NANOSECONDS)
                    .execute(() -> giveUp(ErrorKind.DEADLINE_PASSED));
            return;
        }
        giveUp(ErrorKind.DEADLINE_PASSED);
    }

    /**
     * Closes the connection of the try and sets the result, unless the answer has just come.
     *
     * <p>The JDK's client closes the connection of a cancelled exchange even after it went back to the pool and on to
     * another exchange. So once the head is there, only the reading of the body is stopped.
     */
    private void giveUp(ErrorKind kind) {
        givenUpAs = Optional.of(kind);
        if (handler.isHeadReceived()) {
            handler.abandon();
        } else {
            http.cancel(true);
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
