package io.coppershelf.peer.internal;

import io.coppershelf.membership.Vm;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;

/** All connections of a process: at most one in use to each peer, opened on demand and closed when idle. */
final class ConnectionPool {
    private static final long CONNECT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long RECONNECT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long HELLO_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long OUTGOING_IDLE_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final long INCOMING_IDLE_NANOS = TimeUnit.SECONDS.toNanos(300);

    private final ConcurrentMap<Endpoint, Connection> outgoing = new ConcurrentHashMap<>();
    private final ConcurrentMap<Endpoint, Long> connectFailureNanos = new ConcurrentHashMap<>();
    private final Set<Connection> all = ConcurrentHashMap.newKeySet();
    private final Function<Vm, Connection> opener;
    private final Predicate<Vm> isReplaced;

    /**
     * Creates an empty pool.
     *
     * @param opener starts to open a connection
     * @param isReplaced whether a later incarnation of the VM is known
     */
    ConnectionPool(Function<Vm, Connection> opener, Predicate<Vm> isReplaced) {
        this.opener = opener;
        this.isReplaced = isReplaced;
    }

    /** Returns the connection to use for the peer, empty right after a failure to connect. */
    Optional<Connection> connectionTo(Vm target) {
        Endpoint endpoint = Endpoint.to(target);
        Long failureNanos = connectFailureNanos.get(endpoint);
        if (failureNanos != null && System.nanoTime() - failureNanos < RECONNECT_DELAY_NANOS) {
            return Optional.empty();
        }
        return Optional.of(outgoing.computeIfAbsent(endpoint, absent -> open(target)));
    }

    void add(Connection connection) {
        all.add(connection);
    }

    int size() {
        return all.size();
    }

    boolean isBusy() {
        return all.stream().anyMatch(connection -> !connection.pending().isEmpty());
    }

    /** Removes a closed connection. */
    void remove(Connection connection) {
        all.remove(connection);
        connection.target().ifPresent(target -> {
            Endpoint endpoint = Endpoint.to(target);
            outgoing.remove(endpoint, connection);
            if (connection.isHandshakePending()) {
                connectFailureNanos.put(endpoint, System.nanoTime());
            }
        });
    }

    /** Fails expired requests and closes connections that are no longer needed. */
    void sweep(long nowNanos) {
        connectFailureNanos.values().removeIf(failureNanos -> nowNanos - failureNanos >= RECONNECT_DELAY_NANOS);
        for (Connection connection : all) {
            expireRequests(connection, nowNanos);
            if (shouldClose(connection, nowNanos)) {
                connection.close();
            }
        }
    }

    void closeAll() {
        all.forEach(Connection::close);
    }

    private Connection open(Vm target) {
        Connection connection = opener.apply(target);
        all.add(connection);
        return connection;
    }

    private void expireRequests(Connection connection, long nowNanos) {
        for (OutboundFrame request : connection.pending().values()) {
            if (!request.isExpired(nowNanos)) {
                continue;
            }
            connection.pending().remove(request.correlationId());
            request.fail();
            if (connection.lastReceivedNanos() - request.createdNanos() < 0) {
                retire(connection);
            }
        }
    }

    /**
     * Retires a connection on which nothing was received since an expired request: it may be half open. New messages
     * use a new connection; replies in flight are still received on this one.
     */
    private void retire(Connection connection) {
        connection.retire();
        connection.target().ifPresent(target -> outgoing.remove(Endpoint.to(target), connection));
    }

    private boolean shouldClose(Connection connection, long nowNanos) {
        if (connection.isConnecting() && nowNanos - connection.openedNanos() >= CONNECT_TIMEOUT_NANOS) {
            return true;
        }
        if (connection.isHandshakePending() && nowNanos - connection.openedNanos() >= HELLO_TIMEOUT_NANOS) {
            return true;
        }
        if (connection.remote().filter(isReplaced).isPresent()) {
            return true;
        }
        long idleNanos = connection.target().isPresent() ? OUTGOING_IDLE_NANOS : INCOMING_IDLE_NANOS;
        return connection.isIdle() && (connection.isRetired() || nowNanos - connection.lastUsedNanos() >= idleNanos);
    }

    /** The remote end of a connection; another incarnation of a VM needs another connection. */
    private record Endpoint(String id, long incarnation, String host, int peerPort) {
        static Endpoint to(Vm vm) {
            return new Endpoint(vm.id(), vm.incarnation(), vm.host(), vm.peerPort());
        }
    }
}
