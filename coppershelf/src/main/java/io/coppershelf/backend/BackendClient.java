package io.coppershelf.backend;

import io.coppershelf.component.ComponentKey;
import io.coppershelf.ticket.ServerSpec;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Sends tries to backend servers. Safe for use by several threads. */
public interface BackendClient {
    ComponentKey<BackendClient> NAME = ComponentKey.named("backend", BackendClient.class);

    /** Sends the try once; the future never completes exceptionally. */
    Exchange send(BackendRequest request);

    /** Probes a server; completes with what it says of itself, empty if it does not answer in time. */
    CompletableFuture<java.util.Optional<BackendResult.ServerState>> probe(ServerSpec server, Duration timeout);

    /** A try under way. */
    interface Exchange {
        /** Returns the future result. */
        CompletableFuture<BackendResult> result();

        /**
         * Gives the try up: asks the server to cancel it, and completes {@link #result} with a {@code NOT_RUN} kind if
         * the server says within the limit that it had not started, else with an {@code UNKNOWN} one.
         */
        void cancel(Duration limit);
    }
}
