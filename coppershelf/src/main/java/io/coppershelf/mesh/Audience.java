package io.coppershelf.mesh;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Which VMs receive what this VM observes of a server. In a small fleet all do. In a large one these are the VMs of the
 * server's data centre, which send it most of its requests, and those of this VM's own data centre; the other data
 * centres receive summaries, each VM from one VM of every other data centre. What a VM sends and receives thus follows
 * from its own requests and from the size of a data centre, not of the fleet. Immutable.
 */
final class Audience {
    /** Largest fleet in which all VMs receive all reports. */
    static final int MAX_FULL_FLEET = 48;

    private final String ownDataCentre;
    private final List<InetSocketAddress> all;
    private final Map<String, List<InetSocketAddress>> byDataCentre;
    private final List<InetSocketAddress> summaryReceivers;

    private Audience(
            String ownDataCentre,
            List<InetSocketAddress> all,
            Map<String, List<InetSocketAddress>> byDataCentre,
            List<InetSocketAddress> summaryReceivers) {
        this.ownDataCentre = ownDataCentre;
        this.all = all;
        this.byDataCentre = byDataCentre;
        this.summaryReceivers = summaryReceivers;
    }

    /**
     * Returns the audience of a VM.
     *
     * @param live the other VMs that are considered live
     */
    static Audience of(InetSocketAddress self, String ownDataCentre, List<MemberEntry> live) {
        Map<String, List<InetSocketAddress>> byDataCentre = new TreeMap<>();
        live.forEach(member -> byDataCentre
                .computeIfAbsent(member.dataCentre(), dataCentre -> new ArrayList<>())
                .add(member.address()));
        List<InetSocketAddress> neighbours = byDataCentre.getOrDefault(ownDataCentre, List.of());
        int rank = (int) neighbours.stream()
                .filter(neighbour -> Membership.ORDER.compare(neighbour, self) < 0)
                .count();
        int groups = neighbours.size() + 1;
        List<InetSocketAddress> summaryReceivers = live.stream()
                .filter(member -> !member.dataCentre().equals(ownDataCentre))
                .map(MemberEntry::address)
                .filter(address -> Math.floorMod(Membership.mixedHash(address), groups) == rank)
                .toList();
        List<InetSocketAddress> all = live.stream().map(MemberEntry::address).toList();
        return new Audience(ownDataCentre, all, byDataCentre, summaryReceivers);
    }

    /** Returns whether reports on a server reach only a part of the fleet. */
    boolean isPartial() {
        return all.size() >= MAX_FULL_FLEET;
    }

    /** Returns the number of VMs that receive reports on the servers of the own data centre. */
    int receivers() {
        return ofServersIn(ownDataCentre).size();
    }

    /** Returns all other VMs. */
    List<InetSocketAddress> all() {
        return all;
    }

    /** Returns the VMs that receive reports on the servers of a data centre. */
    List<InetSocketAddress> ofServersIn(String dataCentre) {
        if (!isPartial()) {
            return all;
        }
        List<InetSocketAddress> receivers = new ArrayList<>(byDataCentre.getOrDefault(ownDataCentre, List.of()));
        if (!dataCentre.equals(ownDataCentre)) {
            receivers.addAll(byDataCentre.getOrDefault(dataCentre, List.of()));
        }
        return receivers;
    }

    /** Returns the VMs of other data centres to which this VM sends summaries; none in a small fleet. */
    List<InetSocketAddress> summaryReceivers() {
        return isPartial() ? summaryReceivers : List.of();
    }

    /** Returns whether this VM sees all requests to the servers of a data centre, or no VM there does. */
    boolean covers(String dataCentre) {
        return !isPartial() || dataCentre.equals(ownDataCentre) || !byDataCentre.containsKey(dataCentre);
    }
}
