package io.coppershelf.mesh;

import java.net.InetSocketAddress;

/**
 * What is said of a VM of the fleet.
 *
 * @param address where it hears datagrams
 * @param incarnation the time of its start in milliseconds since 1970; grows with each start
 * @param heartbeat a counter that the VM raises as long as it runs
 * @param isLeaving whether it takes no new work
 */
public record MemberEntry(InetSocketAddress address, long incarnation, long heartbeat, boolean isLeaving) {
    /** Returns whether this says more recent things of the VM than the other entry. */
    boolean isNewerThan(MemberEntry other) {
        return incarnation > other.incarnation || (incarnation == other.incarnation && heartbeat > other.heartbeat);
    }
}
