package io.coppershelf.proxy;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.ServerList;
import io.coppershelf.http.HttpConnection;
import io.coppershelf.http.HttpConnector;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** The connections to backend servers. Runs on the traffic thread. */
final class ServerConnectionPool {
    private final HttpConnector connector;
    private final Map<String, ServerLinks> linksByServer = new HashMap<>();

    ServerConnectionPool(HttpConnector connector) {
        this.connector = connector;
    }

    /**
     * Hands over a connection to the server, an idle one if it has not been idle for too long.
     *
     * @param maxIdleNanos the longest idle time of a connection that is used again
     * @param maxConnections the connections that this VM may have to the server
     * @param onFailure hears why there is none; nothing was sent then
     */
    void acquire(
            BackendServer server,
            long maxIdleNanos,
            int maxConnections,
            Consumer<HttpConnection> onOpen,
            Consumer<String> onFailure) {
        ServerLinks links = linksByServer.computeIfAbsent(keyOf(server), key -> new ServerLinks(server.id()));
        Optional<HttpConnection> idle = links.takeIdle(maxIdleNanos);
        if (idle.isPresent()) {
            onOpen.accept(idle.get());
            return;
        }
        if (links.open >= maxConnections) {
            onFailure.accept("all connections to the server are in use");
            return;
        }
        links.open++;
        connector.open(
                server.address(),
                onOpen,
                cause -> {
                    links.open--;
                    onFailure.accept(cause.toString());
                },
                links.idle::addFirst,
                closed -> {
                    links.open--;
                    links.idle.remove(closed);
                });
    }

    /** Closes connections that were idle for too long, and those to servers that are gone. */
    void sweep(ServerList servers, long nowNanos) {
        linksByServer.values().forEach(links -> links.closeUnusable(nowNanos));
        linksByServer.entrySet().removeIf(entry -> {
            ServerLinks links = entry.getValue();
            return links.open == 0 && servers.server(links.serverId).isEmpty();
        });
    }

    private static String keyOf(BackendServer server) {
        return server.id() + '@' + server.startedMillis() + '@' + server.address();
    }

    private static final class ServerLinks {
        private final Deque<HttpConnection> idle = new ArrayDeque<>();
        private final String serverId;
        private int open;

        ServerLinks(String serverId) {
            this.serverId = serverId;
        }

        Optional<HttpConnection> takeIdle(long maxIdleNanos) {
            long now = System.nanoTime();
            HttpConnection latest = idle.peekFirst();
            if (latest == null || !latest.isUsable(maxIdleNanos, now)) {
                return Optional.empty();
            }
            idle.removeFirst();
            return Optional.of(latest);
        }

        void closeUnusable(long nowNanos) {
            for (HttpConnection link : idle.toArray(new HttpConnection[0])) {
                if (!link.isUsable(Long.MAX_VALUE, nowNanos)) {
                    link.close();
                }
            }
        }
    }
}
