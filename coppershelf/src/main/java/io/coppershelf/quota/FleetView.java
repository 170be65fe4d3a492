package io.coppershelf.quota;

import java.net.InetSocketAddress;
import java.util.Set;

/**
 * The VMs as this one sees them.
 *
 * @param self this VM
 * @param live the VMs that are considered live and not leaving, with this one
 * @param liveShare the number of live VMs divided by the number that was known recently and has not left
 */
public record FleetView(InetSocketAddress self, Set<InetSocketAddress> live, double liveShare) {
    /** The excess over a cap that deployments tolerate; the parts of a divided fleet together stay below it. */
    private static final double EXCESS = 1.25;

    /** Copies the set. */
    public FleetView {
        live = Set.copyOf(live);
    }

    /**
     * Returns the share of a tenant's rate that the granters issue.
     *
     * @param answeringShare the share of the live VMs that answer this one
     */
    double mintFactor(double answeringShare) {
        return Math.min(1, EXCESS * liveShare * answeringShare);
    }
}
