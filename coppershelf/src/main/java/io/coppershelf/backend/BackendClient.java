package io.coppershelf.backend;

import io.coppershelf.component.ComponentKey;
import io.coppershelf.ticket.ServerSpec;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Sends attempts to backend servers. Thread-safe. */
public interface BackendClient {
    ComponentKey<BackendClient> NAME = ComponentKey.named("backend", BackendClient.class);

    /** Sends the attempt once, without retries; its future never completes exceptionally. */
    Exchange send(BackendRequest request);

    /** Probes a server; completes with the state that the server reports, empty if it does not answer in time. */
    CompletableFuture<java.util.Optional<BackendResult.ServerState>> probe(ServerSpec server, Duration timeout);

    /** An attempt in flight. */
    interface Exchange {
        /** Returns the future result. */
        CompletableFuture<BackendResult> result();

        /**
         * Cancels the attempt on the server and completes {@link #result}, unless an answer arrives first: with an
         * error of outcome {@code NOT_RUN} if the server confirms within the limit that it had not started the request,
         * otherwise with an error of outcome {@code UNKNOWN}.
         */
        void cancel(Duration limit);
    }
}
