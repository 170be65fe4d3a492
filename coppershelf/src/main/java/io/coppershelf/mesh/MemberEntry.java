package io.coppershelf.mesh;

import java.net.InetSocketAddress;

/**
 * The state of a VM of the fleet, as spread by gossip.
 *
 * @param address the address at which it receives datagrams
 * @param dataCentre the data centre in which it runs
 * @param incarnation the time of its start in milliseconds since 1970; grows with each start
 * @param heartbeat a counter that the VM increments as long as it runs
 * @param isLeaving whether it accepts no new requests
 * @param relayPort the port at which it accepts requests of other VMs, 0 if it accepts none
 * @param isCutOff whether it reaches no server
 */
public record MemberEntry(
        InetSocketAddress address,
        String dataCentre,
        long incarnation,
        long heartbeat,
        boolean isLeaving,
        int relayPort,
        boolean isCutOff) {
    /** Creates the entry of a VM that accepts no requests of other VMs. */
    MemberEntry(InetSocketAddress address, String dataCentre, long incarnation, long heartbeat, boolean isLeaving) {
        this(address, dataCentre, incarnation, heartbeat, isLeaving, 0, false);
    }

    /** Returns whether other VMs may hand requests to it. */
    boolean acceptsRelays() {
        return relayPort > 0 && !isLeaving && !isCutOff;
    }

    /** Returns the address at which it accepts requests of other VMs. */
    InetSocketAddress relayAddress() {
        return new InetSocketAddress(address.getAddress(), relayPort);
    }

    /** Returns whether this entry is more recent than the other one of the same VM. */
    boolean isNewerThan(MemberEntry other) {
        return incarnation > other.incarnation || (incarnation == other.incarnation && heartbeat > other.heartbeat);
    }

    /** Returns whether the other entry of the same VM differs at most in its heartbeat. */
    boolean isSameButForHeartbeat(MemberEntry other) {
        return incarnation == other.incarnation
                && isLeaving == other.isLeaving
                && relayPort == other.relayPort
                && isCutOff == other.isCutOff
                && dataCentre.equals(other.dataCentre);
    }
}
