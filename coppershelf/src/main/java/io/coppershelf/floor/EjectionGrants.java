package io.coppershelf.floor;

import io.coppershelf.component.ComponentKey;

/**
 * Requests grants to eject servers; the owner of a server group needs one for each server that it ejects. A grant is
 * the right to eject one server for a limited time. Thread-safe.
 */
public interface EjectionGrants {
    ComponentKey<EjectionGrants> NAME = ComponentKey.named("floor", EjectionGrants.class);

    /** Requests a grant to eject the server, or renews it; the result goes to the listener. */
    void request(String service, String server, Listener listener);

    /** Releases the grant. */
    void release(String service, String server);

    /**
     * Reports whether a server is out of service for another reason than ejection: draining, leaving or cold.
     *
     * @param out whether it is out of service
     */
    void reportOutOfService(String service, String server, boolean out);

    /** Receives the results of requests, on any thread. */
    interface Listener {
        /** The grant is valid until the given monotonic time. */
        void granted(String server, long untilNanos);

        /** The request was refused, or no granter replied. */
        void refused(String server);

        /** The grant ended: it was revoked, its renewal was refused, or it expired. */
        void revoked(String server);
    }
}
