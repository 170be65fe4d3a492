package io.coppershelf.catalog;

import java.net.InetSocketAddress;

/**
 * A backend server, as described in its own report to the platform.
 *
 * @param id the id of the server
 * @param startedMillis when this incarnation started, in milliseconds since 1970
 * @param service the service that it belongs to
 * @param address where it accepts requests
 * @param dataCentre the data centre in which it runs
 * @param slots the number of requests that it runs at a time
 * @param isAccepting whether it accepts new requests; false while it drains
 * @param coldMillis the remaining time for which it is slow after its start, counted from the report, in milliseconds
 */
public record BackendServer(
        String id,
        long startedMillis,
        String service,
        InetSocketAddress address,
        String dataCentre,
        int slots,
        boolean isAccepting,
        long coldMillis) {
    /** Returns the key of this incarnation in health estimates and in messages between VMs. */
    public String key() {
        return id + '@' + startedMillis;
    }

    /** Returns whether both reports are of the same incarnation; other differences are ignored. */
    public boolean isSameIncarnation(BackendServer other) {
        return id.equals(other.id) && startedMillis == other.startedMillis && address.equals(other.address);
    }

    /** Returns this report of a server that accepts no new requests. */
    public BackendServer withoutAccepting() {
        return isAccepting
                ? new BackendServer(id, startedMillis, service, address, dataCentre, slots, false, coldMillis)
                : this;
    }

    /** Returns whether the server is still slow after its start. */
    public boolean isCold() {
        return coldMillis > 0;
    }

    /** Returns whether the reports agree in everything that other VMs need for routing. */
    public boolean isSameForRouting(BackendServer other) {
        return isSameIncarnation(other)
                && service.equals(other.service)
                && slots == other.slots
                && isCold() == other.isCold()
                && isAccepting == other.isAccepting;
    }
}
