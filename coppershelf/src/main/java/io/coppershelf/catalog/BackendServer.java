package io.coppershelf.catalog;

import java.net.InetSocketAddress;

/**
 * A backend server as it reported itself.
 *
 * @param id the id of the server
 * @param bornMillis when this incarnation started, in milliseconds since 1970
 * @param service the service that it belongs to
 * @param address where it accepts requests
 * @param dataCentre the data centre in which it runs
 * @param slots how many requests it runs at a time
 * @param isAccepting whether it takes new requests; false while it drains
 * @param coldMillis how much longer it stays slow after its start, from the time of the report
 */
public record BackendServer(
        String id,
        long bornMillis,
        String service,
        InetSocketAddress address,
        String dataCentre,
        int slots,
        boolean isAccepting,
        long coldMillis) {
    /** Returns the key of this incarnation in beliefs and in messages between VMs. */
    public String key() {
        return id + '@' + bornMillis;
    }

    /** Returns whether both are the same incarnation, whatever else they report. */
    public boolean isSameIncarnation(BackendServer other) {
        return id.equals(other.id) && bornMillis == other.bornMillis && address.equals(other.address);
    }

    /** Returns whether the server is still slow after its start. */
    public boolean isCold() {
        return coldMillis > 0;
    }

    /** Returns whether a fleet member needs to hear of the difference between the two reports. */
    public boolean isSameForRouting(BackendServer other) {
        return isSameIncarnation(other)
                && service.equals(other.service)
                && slots == other.slots
                && isCold() == other.isCold()
                && isAccepting == other.isAccepting;
    }
}
