package io.coppershelf.proxy;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.ServerList;
import io.coppershelf.http.HttpConnection;
import io.coppershelf.http.HttpConnector;
import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** The connections to backend servers. Runs on the traffic thread. */
final class ServerConnectionPool {
    /** How a server answers a new connection. */
    enum ServerState {
        /** It accepts the connection. */
        ACCEPTING,
        /** No process listens at its address. */
        REFUSING,
        /** It does not answer, or the network does not reach it. */
        UNKNOWN
    }

    /** Observes the outcomes of new connections. */
    interface Observer {
        /** Called when a connection to a server is open. */
        void connected(BackendServer server);

        /**
         * Called when a server could not be reached.
         *
         * @return other servers that are now unlikely to be reached; requests stop to wait for connections to them
         */
        Collection<BackendServer> failed(BackendServer server);

        /** Called when the number of idle connections to a server has changed. */
        void idleConnectionsChanged(BackendServer server, int count);
    }

    private final HttpConnector connector;
    private final Optional<Observer> observer;
    private final Map<String, ServerConnections> connectionsByServer = new HashMap<>();

    ServerConnectionPool(HttpConnector connector, Optional<Observer> observer) {
        this.connector = connector;
        this.observer = observer;
    }

    /**
     * Acquires a connection to the server: an idle one if it has not been idle for too long, else a new one.
     *
     * @param maxIdleNanos the longest idle time of a connection that is reused
     * @param maxConnections the largest number of connections that this VM may have to the server
     * @param onFailure receives the reason if there is no connection; nothing was sent then
     */
    void acquire(
            BackendServer server,
            long maxIdleNanos,
            int maxConnections,
            Consumer<HttpConnection> onOpen,
            Consumer<String> onFailure) {
        ServerConnections connections = connections(server);
        Optional<HttpConnection> idle = connections.takeIdle(maxIdleNanos);
        idleChanged(server, connections);
        if (idle.isPresent()) {
            onOpen.accept(idle.get());
            return;
        }
        if (connections.open >= maxConnections) {
            onFailure.accept("all connections to the server are in use");
            return;
        }
        connections.open++;
        Waiter waiter = new Waiter(onOpen, onFailure);
        connections.waiters.add(waiter);
        connector.open(
                server.address(),
                connection -> {
                    observer.ifPresent(observing -> observing.connected(server));
                    if (connections.waiters.remove(waiter)) {
                        waiter.onOpen.accept(connection);
                    } else {
                        becameIdle(server, connections, connection);
                    }
                },
                cause -> {
                    connections.open--;
                    boolean isWaiting = connections.waiters.remove(waiter);
                    connectFailed(server, connections);
                    if (isWaiting) {
                        waiter.onFailure.accept(cause.toString());
                    }
                },
                connection -> becameIdle(server, connections, connection),
                connection -> {
                    connections.closed(connection);
                    idleChanged(server, connections);
                });
    }

    /**
     * Opens a connection to find out whether a process still listens at the address of the server; the connection is
     * kept for later requests.
     */
    void check(BackendServer server, Consumer<ServerState> onResult) {
        ServerConnections connections = connections(server);
        connections.open++;
        connector.open(
                server.address(),
                connection -> {
                    becameIdle(server, connections, connection);
                    observer.ifPresent(observing -> observing.connected(server));
                    onResult.accept(ServerState.ACCEPTING);
                },
                cause -> {
                    connections.open--;
                    connectFailed(server, connections);
                    boolean isRefused =
                            cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
                    onResult.accept(isRefused ? ServerState.REFUSING : ServerState.UNKNOWN);
                },
                connection -> becameIdle(server, connections, connection),
                connection -> {
                    connections.closed(connection);
                    idleChanged(server, connections);
                });
    }

    private void becameIdle(BackendServer server, ServerConnections connections, HttpConnection connection) {
        connections.idle.addFirst(connection);
        idleChanged(server, connections);
    }

    private void idleChanged(BackendServer server, ServerConnections connections) {
        observer.ifPresent(observing -> observing.idleConnectionsChanged(server, connections.idle.size()));
    }

    /** Ends the wait of all requests for connections to a server that failed, and to those that failed with it. */
    private void connectFailed(BackendServer server, ServerConnections connections) {
        Collection<BackendServer> doubtful =
                observer.map(observing -> observing.failed(server)).orElse(List.of());
        connections.endWaits("another connection to the server failed");
        for (BackendServer other : doubtful) {
            Optional.ofNullable(connectionsByServer.get(keyOf(other)))
                    .ifPresent(waiting -> waiting.endWaits("connections to several servers like this one failed"));
        }
    }

    /**
     * Closes connections that were idle for too long, and removes servers that are no longer registered and have no
     * connection.
     */
    void sweep(ServerList servers, long nowNanos) {
        connectionsByServer.values().forEach(connections -> connections.closeUnusable(nowNanos));
        connectionsByServer.entrySet().removeIf(entry -> {
            ServerConnections connections = entry.getValue();
            return connections.open == 0 && servers.server(connections.serverId).isEmpty();
        });
    }

    private ServerConnections connections(BackendServer server) {
        return connectionsByServer.computeIfAbsent(keyOf(server), key -> new ServerConnections(server.id()));
    }

    private static String keyOf(BackendServer server) {
        return server.id() + '@' + server.startedMillis() + '@' + server.address();
    }

    /** A request that waits for a new connection. */
    private static final class Waiter {
        private final Consumer<HttpConnection> onOpen;
        private final Consumer<String> onFailure;

        Waiter(Consumer<HttpConnection> onOpen, Consumer<String> onFailure) {
            this.onOpen = onOpen;
            this.onFailure = onFailure;
        }
    }

    private static final class ServerConnections {
        private final Deque<HttpConnection> idle = new ArrayDeque<>();
        private final List<Waiter> waiters = new ArrayList<>();
        private final String serverId;
        private int open;

        ServerConnections(String serverId) {
            this.serverId = serverId;
        }

        /** Connections that open after all are kept for later requests. */
        void endWaits(String reason) {
            List<Waiter> ended = List.copyOf(waiters);
            waiters.clear();
            ended.forEach(waiter -> waiter.onFailure.accept(reason));
        }

        void closed(HttpConnection connection) {
            open--;
            idle.remove(connection);
        }

        Optional<HttpConnection> takeIdle(long maxIdleNanos) {
            long now = System.nanoTime();
            HttpConnection mostRecent = idle.peekFirst();
            if (mostRecent == null || !mostRecent.isUsable(maxIdleNanos, now)) {
                return Optional.empty();
            }
            idle.removeFirst();
            return Optional.of(mostRecent);
        }

        void closeUnusable(long nowNanos) {
            for (HttpConnection connection : idle.toArray(new HttpConnection[0])) {
                if (!connection.isUsable(Long.MAX_VALUE, nowNanos)) {
                    connection.close();
                }
            }
        }
    }
}
