package io.coppershelf.proxy;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.eventlog.Fields;
import io.coppershelf.poison.CrashRecord;
import io.coppershelf.poison.CrashRecords;
import io.coppershelf.poison.RequestFingerprint;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.time.Duration;
import java.util.Optional;

/**
 * Records which servers crashed while they ran one request, and keeps the request from further servers once there are
 * too many. Runs on the traffic thread.
 */
final class CrashWatch {
    private final TrafficContext context;
    private final CallerRequest request;
    private final String requestId;
    private Optional<Long> head = Optional.empty();
    private Optional<RequestFingerprint> fingerprint = Optional.empty();

    CrashWatch(TrafficContext context, CallerRequest request, String requestId) {
        this.context = context;
        this.request = request;
        this.requestId = requestId;
    }

    /** Returns the time for which the request is kept from the servers, empty if it may be sent. */
    Optional<Duration> quarantine(long nowNanos) {
        return isOnRecord() ? context.crashes().quarantine(fingerprint(), nowNanos) : Optional.empty();
    }

    /**
     * Handles the loss of the request at a server: the server crashed if it refuses a new connection. One that only
     * dropped the request accepts it, and one that lost power, or whose path is broken, does not answer.
     *
     * @param next continues with the request; called at once, unless another server crashed under it before
     */
    void attemptLost(BackendServer server, Runnable next) {
        boolean isSuspected = isOnRecord();
        context.pool().check(server, state -> {
            if (state == ServerConnectionPool.ServerState.REFUSING) {
                recordCrash(server);
            }
            if (isSuspected) {
                next.run();
            }
        });
        if (!isSuspected) {
            next.run();
        }
    }

    /** Handles the success of the request, which shows that it crashes no servers. */
    void succeeded() {
        if (isOnRecord() && context.crashes().clear(fingerprint())) {
            context.state().reports().requestCleared(fingerprint());
        }
    }

    /** Returns what requests that are the same to a server have in common. */
    RequestFingerprint fingerprint() {
        if (fingerprint.isEmpty()) {
            fingerprint = Optional.of(RequestFingerprint.of(head(), request.body()));
        }
        return fingerprint.get();
    }

    private void recordCrash(BackendServer server) {
        long code = context.chooser().stats(server).code();
        CrashRecord record = context.crashes().recordCrash(fingerprint(), code, System.nanoTime());
        context.metrics().recordCrash();
        context.log()
                .important(
                        "server-crashed",
                        Fields.of(
                                "request",
                                requestId,
                                "server",
                                server.id(),
                                "fingerprint",
                                fingerprint(),
                                "crashes",
                                record.serverCodes().size(),
                                "quarantined",
                                record.quarantine(System.nanoTime()).isPresent()));
        context.state().reports().requestCrashed(record);
    }

    private boolean isOnRecord() {
        CrashRecords crashes = context.crashes();
        return !crashes.isEmpty()
                && crashes.hasHead(head())
                && crashes.record(fingerprint()).isPresent();
    }

    private long head() {
        if (head.isEmpty()) {
            String host = Optional.ofNullable(request.headers().get(HttpHeaderNames.HOST))
                    .orElse("");
            head = Optional.of(
                    RequestFingerprint.headOf(request.caller(), request.method().name(), host, request.uri()));
        }
        return head.get();
    }
}
