package io.coppershelf.quota;

import java.net.InetSocketAddress;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The VMs as this one sees them.
 *
 * @param self this VM
 * @param incarnations the VMs that are considered live and not leaving, with this one, and a number that changes when a
 *     VM is restarted
 * @param liveShare the number of live VMs divided by the number that was known recently and has not left
 */
public record FleetView(InetSocketAddress self, Map<InetSocketAddress, Long> incarnations, double liveShare) {
    /** The excess over a cap that deployments tolerate; the parts of a divided fleet together stay below it. */
    private static final double EXCESS = 1.25;

    /** Copies the map. */
    public FleetView {
        incarnations = Collections.unmodifiableMap(new LinkedHashMap<>(incarnations));
    }

    /** Returns the VMs that are considered live and not leaving, with this one. */
    Set<InetSocketAddress> live() {
        return incarnations.keySet();
    }

    /**
     * Returns whether both views have the same content. The generated {@code equals} of a record creates a dozen
     * classes at its first call, which no class data archive holds.
     */
    boolean isSameAs(FleetView other) {
        return self.equals(other.self)
                && incarnations.equals(other.incarnations)
                && Double.compare(liveShare, other.liveShare) == 0;
    }

    /** Returns the VMs of this view that are those of another one and were not restarted since. */
    Set<InetSocketAddress> unchangedSince(FleetView other) {
        return incarnations.entrySet().stream()
                .filter(entry -> entry.getValue().equals(other.incarnations.get(entry.getKey())))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
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
