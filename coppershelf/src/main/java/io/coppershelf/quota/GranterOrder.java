package io.coppershelf.quota;

import io.coppershelf.catalog.UsageCap;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * The order in which VMs become granters of a tenant. It is the same on all VMs that see the same live VMs, and a VM
 * that joins or leaves changes only the places behind it.
 *
 * @see <a href="https://doi.org/10.1109/90.663936">Thaler and Ravishankar, Using Name-Based Mappings to Increase Hit
 *     Rates, 1998</a>
 */
final class GranterOrder {
    /** Largest number of granters of a tenant. */
    private static final int MAX_GRANTERS = 16;
    /** Smallest number of granters of a tenant, so that it is served while some are down and not yet replaced. */
    private static final int MIN_GRANTERS = 3;
    /** Rate for which one more granter is used; a VM that is granter of several tenants has few messages. */
    private static final double RATE_PER_GRANTER = 5;

    /** Successors of the granters that share the reserve of a tenant; some may be down with the granters. */
    static final int RESERVES = 3;

    private GranterOrder() {}

    /** Returns the number of granters of a tenant in a fleet of any size. */
    static int granters(UsageCap cap) {
        return (int) Math.max(MIN_GRANTERS, Math.min(MAX_GRANTERS, cap.perSecond() / RATE_PER_GRANTER));
    }

    /** Returns the VMs in the order of the tenant. */
    static List<InetSocketAddress> of(String tenant, Collection<InetSocketAddress> vms) {
        long seed = mix(tenant.hashCode());
        return vms.stream()
                .map(vm -> new Ranked(vm, mix(seed ^ vm.hashCode())))
                .sorted(Comparator.comparingLong(Ranked::rank)
                        .thenComparing(ranked -> ranked.vm().toString()))
                .map(Ranked::vm)
                .toList();
    }

    /** Returns a number that spreads the borrowers of a tenant over its granters. */
    static long preference(InetSocketAddress borrower, InetSocketAddress granter) {
        return mix(mix(borrower.hashCode()) ^ granter.hashCode());
    }

    /** The finalizer of MurmurHash3. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }

    private record Ranked(InetSocketAddress vm, long rank) {}
}
