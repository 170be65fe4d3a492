package io.coppershelf.proxy;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.eventlog.Fields;
import io.coppershelf.poison.RequestFingerprint;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Optional;

/** Finds out which servers crashed while they ran one request. Runs on the traffic thread. */
final class CrashWatch {
    private final TrafficContext context;
    private final CallerRequest request;
    private final String requestId;
    private Optional<RequestFingerprint> fingerprint = Optional.empty();

    CrashWatch(TrafficContext context, CallerRequest request, String requestId) {
        this.context = context;
        this.request = request;
        this.requestId = requestId;
    }

    /**
     * Handles the loss of the request at a server: the server crashed if it refuses a new connection. One that only
     * dropped the request accepts it, and one that lost power, or whose path is broken, does not answer.
     */
    void attemptLost(BackendServer server) {
        context.pool().check(server, state -> {
            if (state == ServerConnectionPool.ServerState.REFUSING) {
                recordCrash(server);
            }
        });
    }

    /** Returns what requests that are the same to a server have in common. */
    RequestFingerprint fingerprint() {
        if (fingerprint.isEmpty()) {
            String host = Optional.ofNullable(request.headers().get(HttpHeaderNames.HOST))
                    .orElse("");
            long head =
                    RequestFingerprint.headOf(request.caller(), request.method().name(), host, request.uri());
            fingerprint = Optional.of(RequestFingerprint.of(head, request.body()));
        }
        return fingerprint.get();
    }

    private void recordCrash(BackendServer server) {
        context.metrics().recordCrash();
        context.log()
                .important(
                        "server-crashed",
                        Fields.of("request", requestId, "server", server.id(), "fingerprint", fingerprint()));
    }
}
