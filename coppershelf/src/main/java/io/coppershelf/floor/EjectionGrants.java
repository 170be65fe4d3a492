package io.coppershelf.floor;

import io.coppershelf.component.ComponentKey;

/** Where the owner of a server group asks for the right to eject. Safe for use by several threads. */
public interface EjectionGrants {
    ComponentKey<EjectionGrants> NAME = ComponentKey.named("floor", EjectionGrants.class);

    /** Asks for the right to eject the server, or renews it; the listener hears the verdict. */
    void request(String service, String server, Listener listener);

    /** Gives the right back. */
    void release(String service, String server);

    /** Tells that a server is out of service for another reason than ejection: draining, leaving or cold. */
    void reportOutOfService(String service, String server, boolean out);

    /** Hears verdicts, on any thread. */
    interface Listener {
        /** The right holds until the given monotonic time. */
        void granted(String server, long untilNanos);

        /** There is no right. */
        void refused(String server);

        /** The right ended early. */
        void revoked(String server);
    }
}
