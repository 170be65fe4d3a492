package io.coppershelf.backend.internal;

import io.coppershelf.ticket.ServerSpec;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.Semaphore;

/**
 * Limits the concurrent exchanges with each server: one per slot for attempts, and a few more for cancellations and
 * probes.
 */
final class ConnectionLimits {
    /** The maximum number of concurrent cancellations and probes per server. */
    static final int MAX_CONTROL_EXCHANGES = 2;

    private final ConcurrentMap<Address, Semaphore> forAttempts = new ConcurrentHashMap<>();
    private final ConcurrentMap<Address, Semaphore> forControl = new ConcurrentHashMap<>();

    /** Returns the permits for attempts on the server. */
    Semaphore forAttempts(ServerSpec server) {
        return forAttempts.computeIfAbsent(Address.of(server), key -> new Semaphore(server.slots()));
    }

    /** Returns the permits for cancellations and probes of the server. */
    Semaphore forControl(ServerSpec server) {
        return forControl.computeIfAbsent(Address.of(server), key -> new Semaphore(MAX_CONTROL_EXCHANGES));
    }

    private record Address(String host, int port, int slots) {
        static Address of(ServerSpec server) {
            return new Address(server.host(), server.port(), server.slots());
        }
    }
}
