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

/** Sends tries, cancellations and probes over the JDK's HTTP client. */
public final class HttpBackendClient implements BackendClient {
    private static final int OK = 200;

    private final HttpClientHolder clients;
    private final TimeSource time;
    private final ConnectionLimits connections = new ConnectionLimits();

    /** Creates a client. */
    public HttpBackendClient(HttpClientHolder clients, TimeSource time) {
        this.clients = clients;
        this.time = time;
    }

    @Override
    public Exchange send(BackendRequest request) {
        HttpAttempt httpTry = new HttpAttempt(request, clients, connections, time);
        httpTry.start();
        return httpTry;
    }

    @Override
    public CompletableFuture<Optional<ServerState>> probe(ServerSpec server, Duration timeout) {
        Semaphore connection = connections.forControl(server);
        if (!connection.tryAcquire()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return clients.current()
                .sendAsync(ServerProtocol.probeRequest(server, timeout), BodyHandlers.discarding())
                .handle((answer, failure) -> {
                    connection.release();
                    return Optional.ofNullable(answer).flatMap(HttpBackendClient::state);
                });
    }

    private static Optional<ServerState> state(HttpResponse<?> answer) {
        return answer.statusCode() == OK ? Optional.of(ServerProtocol.state(answer.headers())) : Optional.empty();
    }
}
