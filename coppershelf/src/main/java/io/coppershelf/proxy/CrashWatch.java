package io.coppershelf.proxy;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.eventlog.Fields;
import io.coppershelf.health.estimate.Observation;
import io.coppershelf.poison.CrashRecord;
import io.coppershelf.poison.RequestFingerprint;
import io.coppershelf.poison.RequestIdentity;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Records which servers crashed while they ran one request, and keeps the request from further servers once there are
 * too many. Runs on the traffic thread.
 */
final class CrashWatch {
    private final TrafficContext context;
    private final String requestId;
    private final RequestIdentity identity;
    private final boolean isLarge;

    CrashWatch(TrafficContext context, CallerRequest request, String requestId) {
        this.context = context;
        this.requestId = requestId;
        isLarge = ServerBodies.isLarge(request);
        String host =
                Optional.ofNullable(request.headers().get(HttpHeaderNames.HOST)).orElse("");
        identity = new RequestIdentity(request.caller(), request.method().name(), host, request.uri(), request.body());
    }

    /** Returns the time for which the request is kept from the servers, empty if it may be sent. */
    Optional<Duration> quarantine(long nowNanos) {
        return context.crashes().quarantine(identity, nowNanos);
    }

    /**
     * Handles the loss of the request at a server, which may be due to the server or to the paths of this VM. A server
     * that only dropped the request accepts a new connection. One that refuses it crashed, and one that lost power does
     * not answer, if this VM reaches other servers.
     *
     * @param observation what the loss shows of the server
     * @param next continues with the request; called at once, unless another server crashed under it before
     */
    void attemptLost(BackendServer server, Observation observation, Runnable next) {
        boolean isSuspected = context.crashes().isOnRecord(identity);
        context.pool().check(server, state -> {
            if (state == ServerConnectionPool.ServerState.ACCEPTING) {
                context.state().reports().observed(server, observation);
            } else {
                context.monitor().ifReachable(() -> {
                    context.state().reports().observed(server, observation);
                    if (state == ServerConnectionPool.ServerState.REFUSING) {
                        recordCrash(server);
                    }
                });
            }
            if (isSuspected) {
                context.monitor().whenSettled(next);
            }
        });
        if (!isSuspected) {
            next.run();
        }
    }

    /** Handles the success of the request, which shows that it crashes no servers. */
    void succeeded() {
        if (context.crashes().isOnRecord(identity) && context.crashes().clear(identity.fingerprints())) {
            context.state().reports().requestCleared(identity.fingerprints());
        }
    }

    /** Returns what requests that are the same to a server have in common. */
    RequestFingerprint fingerprint() {
        return identity.mostSpecific();
    }

    private void recordCrash(BackendServer server) {
        if (isLarge && context.serverBodies().hadTooMany(server)) {
            // The memory of the server explains the crash; the request is innocent as far as is known.
            context.metrics().recordCrash();
            context.log().important("server-overfilled", Fields.of("request", requestId, "server", server.id()));
            return;
        }
        long now = System.nanoTime();
        List<CrashRecord> records = context.crashes()
                .recordCrash(identity, context.chooser().stats(server).code(), now);
        context.metrics().recordCrash();
        context.log()
                .important(
                        "server-crashed",
                        Fields.of(
                                "request",
                                requestId,
                                "server",
                                server.id(),
                                "fingerprints",
                                identity.fingerprints(),
                                "crashes",
                                records.stream()
                                        .mapToInt(record -> record.serverCodes().size())
                                        .max()
                                        .orElse(0),
                                "quarantined",
                                quarantine(now).isPresent()));
        context.state().reports().requestCrashed(records);
    }
}
