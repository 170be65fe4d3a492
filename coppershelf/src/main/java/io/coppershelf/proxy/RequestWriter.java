package io.coppershelf.proxy;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.RequestKind;
import io.coppershelf.http.AnswerListener;
import io.coppershelf.http.HttpConnection;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Sends one request to servers and to other VMs, if it may still be sent once there is a connection. */
final class RequestWriter {
    /**
     * Longest idle time of a connection that is used for a request that can't be retried: a connection that was idle
     * for longer may have failed silently, and the loss of the request costs far more than a new connection.
     */
    private static final long ONCE_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    /** Connections that a server accepts from the whole fleet if the configuration states no number. */
    private static final int DEFAULT_CONNECTION_CAP = 100;
    /** Connections to a server that each VM may always open, so that every VM of a large fleet can send requests. */
    private static final int MIN_CONNECTIONS = 2;
    /** Connections to another VM; as many requests may be handed to it at a time. */
    private static final int MAX_RELAY_CONNECTIONS = 100;

    /**
     * Part of the route's timeout after which a request that the server has not read is evidence against it; the rest
     * leaves the time to run the request.
     */
    private static final int UNREAD_TIMEOUT_SHARE = 4;

    private final TrafficContext context;
    private final ResolvedRequest resolved;
    private final String service;
    private final CallerRequest request;
    private final long deadlineNanos;
    private final Supplier<Optional<String>> reasonNotToSend;

    /**
     * Creates a writer.
     *
     * @param reasonNotToSend returns why the request may no longer be sent, empty if it may
     */
    RequestWriter(
            TrafficContext context,
            ResolvedRequest resolved,
            String service,
            CallerRequest request,
            long deadlineNanos,
            Supplier<Optional<String>> reasonNotToSend) {
        this.context = context;
        this.resolved = resolved;
        this.service = service;
        this.request = request;
        this.deadlineNanos = deadlineNanos;
        this.reasonNotToSend = reasonNotToSend;
    }

    /** Returns the longest idle time of a connection that is used for requests of a kind. */
    static long maxIdleNanos(RequestKind kind) {
        return kind.isRepeatable() ? Long.MAX_VALUE : ONCE_IDLE_NANOS;
    }

    /** Sends the request to a server. */
    void send(ServerAttempt attempt) {
        context.pool()
                .acquire(
                        attempt.server(),
                        maxIdleNanos(resolved.route().kind()),
                        maxConnections(),
                        connection -> write(attempt, connection),
                        attempt::connectFailed);
    }

    /**
     * Hands the request to another VM.
     *
     * @param servers the number of servers to which the other VM may send it
     */
    void send(RelayAttempt attempt, int servers) {
        BackendServer vm = new BackendServer(attempt.target(), 0, "", attempt.vm(), "", MAX_RELAY_CONNECTIONS, true, 0);
        context.relayPool()
                .acquire(
                        vm,
                        ONCE_IDLE_NANOS,
                        MAX_RELAY_CONNECTIONS,
                        connection -> write(attempt, servers, connection),
                        attempt::connectFailed);
    }

    /** Returns this VM's share of the connections that a server accepts. */
    private int maxConnections() {
        int cap = context.state()
                .catalog()
                .configuration()
                .map(configuration -> configuration.connectionCaps().get(service))
                .orElse(DEFAULT_CONNECTION_CAP);
        return Math.max(MIN_CONNECTIONS, cap / context.state().fleetPosition().size());
    }

    private void write(ServerAttempt attempt, HttpConnection connection) {
        Optional<String> obstacle = obstacle(attempt).or(() -> serverObstacle(attempt.server()));
        if (obstacle.isPresent()) {
            connection.close();
            attempt.notSent(obstacle.get());
            return;
        }
        HttpHeaders headers = headers();
        headers.set(context.names().targetServer(), attempt.server().id());
        exchange(attempt, attempt, headers, connection);
        if (ServerBodies.isLarge(request)) {
            long limitNanos = resolved.route().timeout().toNanos() / UNREAD_TIMEOUT_SHARE;
            context.loop().schedule(attempt::reportStallUnlessRead, limitNanos, TimeUnit.NANOSECONDS);
        }
    }

    private void write(RelayAttempt attempt, int servers, HttpConnection connection) {
        Optional<String> obstacle = obstacle(attempt);
        if (obstacle.isPresent()) {
            connection.close();
            attempt.notSent(obstacle.get());
            return;
        }
        HttpHeaders headers = headers();
        headers.set(RelayHeaders.SERVERS, Integer.toString(servers));
        headers.set(RelayHeaders.CALLER, request.caller());
        exchange(attempt, attempt, headers, connection);
    }

    private Optional<String> obstacle(Attempt attempt) {
        if (attempt.isEnded()) {
            return Optional.of("the attempt was cancelled");
        }
        return remainingMillis() <= 0 ? Optional.of("no time is left") : reasonNotToSend.get();
    }

    private Optional<String> serverObstacle(BackendServer server) {
        boolean isDrained = context.state()
                .catalog()
                .servers()
                .server(server.id())
                .filter(known -> known.isAccepting() && known.isSameIncarnation(server))
                .isEmpty();
        if (isDrained) {
            return Optional.of("the server is leaving");
        }
        boolean isPaused = context.chooser().stats(server).remainingPauseNanos(System.nanoTime()) > 0;
        return isPaused ? Optional.of("the server asked for a pause") : Optional.empty();
    }

    private long remainingMillis() {
        return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
    }

    private HttpHeaders headers() {
        HttpHeaders headers = EndToEndHeaders.copy(request.headers());
        // Set after the copy, which drops headers that the caller lists in its Connection header.
        resolved.tenant().ifPresent(tenant -> headers.set(context.names().tenant(), tenant.name()));
        headers.set(context.names().deadlineMillis(), Long.toString(remainingMillis()));
        if (request.body().length > 0 || EndToEndHeaders.declaresBody(request.headers())) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(request.body().length));
        }
        return headers;
    }

    private void exchange(Attempt attempt, AnswerListener listener, HttpHeaders headers, HttpConnection connection) {
        attempt.connected(connection);
        DefaultFullHttpRequest outgoing = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.uri(),
                Unpooled.wrappedBuffer(request.body()),
                headers,
                new DefaultHttpHeaders());
        connection.exchange(outgoing, service, listener);
    }
}
