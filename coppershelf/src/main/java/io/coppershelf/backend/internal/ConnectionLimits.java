package io.coppershelf.backend.internal;

import io.coppershelf.ticket.ServerSpec;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.Semaphore;

/** Limits the exchanges under way to each server: one per slot for tries, and a few more to cancel and probe. */
final class ConnectionLimits {
    /** The exchanges with one server that may cancel or probe at once. */
    static final int CONTROL_CONNECTIONS = 2;

    private final ConcurrentMap<Address, Semaphore> forTries = new ConcurrentHashMap<>();
    private final ConcurrentMap<Address, Semaphore> forControl = new ConcurrentHashMap<>();

    /** Returns the connections to the server that tries may use. */
    Semaphore forAttempts(ServerSpec server) {
        return forTries.computeIfAbsent(Address.of(server), key -> new Semaphore(server.slots()));
    }

    /** Returns the connections to the server that cancellations and probes may use. */
    Semaphore forControl(ServerSpec server) {
        return forControl.computeIfAbsent(Address.of(server), key -> new Semaphore(CONTROL_CONNECTIONS));
    }

    private record Address(String host, int port, int slots) {
        static Address of(ServerSpec server) {
            return new Address(server.host(), server.port(), server.slots());
        }
    }
}
