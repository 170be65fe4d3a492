package io.coppershelf.backend.internal;

import io.coppershelf.backend.BackendClient;
import io.coppershelf.backend.BackendRequest;
import io.coppershelf.backend.BackendResult.ServerState;
import io.coppershelf.component.TimeSource;
import io.coppershelf.ticket.ServerSpec;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;

/** Sends attempts, cancellations and probes with the JDK's HTTP client. */
public final class HttpBackendClient implements BackendClient {
    private static final int OK = 200;

    private final HttpClientHolder clientHolder;
    private final TimeSource time;
    private final ConnectionLimits limits = new ConnectionLimits();

    /** Creates a client. */
    public HttpBackendClient(HttpClientHolder clientHolder, TimeSource time) {
        this.clientHolder = clientHolder;
        this.time = time;
    }

    @Override
    public Exchange send(BackendRequest request) {
        HttpAttempt attempt = new HttpAttempt(request, clientHolder, limits, time);
        attempt.start();
        return attempt;
    }

    @Override
    public CompletableFuture<Optional<ServerState>> probe(ServerSpec server, Duration timeout) {
        Semaphore permit = limits.forControl(server);
        if (!permit.tryAcquire()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return clientHolder
                .current()
                .sendAsync(ServerProtocol.probeRequest(server, timeout), BodyHandlers.discarding())
                .handle((answer, failure) -> {
                    permit.release();
                    return Optional.ofNullable(answer).flatMap(HttpBackendClient::state);
                });
    }

    private static Optional<ServerState> state(HttpResponse<?> answer) {
        return answer.statusCode() == OK ? Optional.of(ServerProtocol.state(answer.headers())) : Optional.empty();
    }
}
