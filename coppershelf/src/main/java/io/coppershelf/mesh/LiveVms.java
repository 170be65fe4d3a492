package io.coppershelf.mesh;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The other VMs that are considered live, and what follows from them alone. It is determined again only after one of
 * them has changed, since a VM of a large fleet needs it many times a second. Not thread-safe.
 */
final class LiveVms {
    private final InetSocketAddress self;
    private final String dataCentre;
    private final List<MemberEntry> entries;
    private final long validUntilNanos;
    private Optional<Audience> audience = Optional.empty();
    private Optional<List<InetSocketAddress>> addresses = Optional.empty();
    private Optional<List<InetSocketAddress>> relays = Optional.empty();
    private Optional<Map<InetSocketAddress, Long>> incarnations = Optional.empty();
    private int rank = -1;

    /**
     * Creates an instance.
     *
     * @param validUntilNanos the last time at which none of the entries is that of a VM that has become silent
     */
    LiveVms(InetSocketAddress self, String dataCentre, List<MemberEntry> entries, long validUntilNanos) {
        this.self = self;
        this.dataCentre = dataCentre;
        this.entries = entries;
        this.validUntilNanos = validUntilNanos;
    }

    /** Returns whether all of these VMs are still considered live at a time. */
    boolean isValidAt(long nowNanos) {
        return nowNanos - validUntilNanos <= 0;
    }

    /** Returns the addresses of the VMs. */
    List<InetSocketAddress> addresses() {
        if (addresses.isEmpty()) {
            addresses = Optional.of(entries.stream().map(MemberEntry::address).toList());
        }
        return addresses.get();
    }

    /** Returns the VMs that receive the reports of this VM. */
    Audience audience() {
        if (audience.isEmpty()) {
            audience = Optional.of(Audience.of(self, dataCentre, entries));
        }
        return audience.get();
    }

    /** Returns the rank of this VM in an order that is the same on all VMs. */
    int rank() {
        if (rank < 0) {
            rank = (int) entries.stream()
                    .filter(entry -> !entry.isLeaving())
                    .filter(entry -> Membership.ORDER.compare(entry.address(), self) < 0)
                    .count();
        }
        return rank;
    }

    /** Returns the addresses at which other VMs accept requests, of the own data centre if enough of its VMs do. */
    List<InetSocketAddress> relays() {
        if (relays.isEmpty()) {
            relays = Optional.of(findRelays());
        }
        return relays.get();
    }

    private List<InetSocketAddress> findRelays() {
        List<MemberEntry> near = entries.stream()
                .filter(vm -> vm.dataCentre().equals(dataCentre))
                .toList();
        List<MemberEntry> nearAccepting =
                near.stream().filter(MemberEntry::acceptsRelays).toList();
        boolean isNearEnough = !nearAccepting.isEmpty() && 2 * nearAccepting.size() >= near.size() + 1;
        return (isNearEnough ? nearAccepting.stream() : entries.stream().filter(MemberEntry::acceptsRelays))
                .map(MemberEntry::relayAddress)
                .toList();
    }

    /** Returns the incarnations of the VMs that are not leaving. */
    Map<InetSocketAddress, Long> incarnations() {
        if (incarnations.isEmpty()) {
            Map<InetSocketAddress, Long> byAddress = new HashMap<>();
            entries.stream()
                    .filter(entry -> !entry.isLeaving())
                    .forEach(entry -> byAddress.put(entry.address(), entry.incarnation()));
            incarnations = Optional.of(byAddress);
        }
        return incarnations.get();
    }
}
