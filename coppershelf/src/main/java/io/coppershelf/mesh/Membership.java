package io.coppershelf.mesh;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Which VMs are in the fleet, by heartbeat counters that spread from VM to VM: one counts as gone when its counter
 * stops. Starts from a few seeds, which may be wrong or down. Pure; not safe for several threads.
 *
 * @see <a href="https://doi.org/10.1007/978-1-4471-1283-9_4">van Renesse, Minsky and Hayden, A Gossip-Style Failure
 *     Detection Service, 1998</a>
 */
public final class Membership {
    /** Time without a new heartbeat after which a VM counts as gone; several rounds of gossip. */
    static final long GONE_NANOS = TimeUnit.SECONDS.toNanos(8);
    /** Time after which a VM that is gone is forgotten; its return is heard of sooner. */
    static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(30);
    /** Time after its start in which a VM does not know the whole fleet yet. */
    static final long JOINING_NANOS = TimeUnit.SECONDS.toNanos(5);
    /** The fleet that a VM assumes until then; about the size of the larger deployments of today. */
    static final int ASSUMED_FLEET = 100;
    /** Entries of other VMs in one message, so that it stays within one packet. */
    private static final int ENTRIES_PER_MESSAGE = 16;

    private final InetSocketAddress self;
    private final long incarnation;
    private final List<InetSocketAddress> seeds;
    private final Random random;
    private final long startedNanos;
    private final Map<InetSocketAddress, Member> members = new HashMap<>();
    private long heartbeat;
    private boolean isLeaving;

    /** Creates a membership of this VM alone. */
    public Membership(
            InetSocketAddress self, long incarnation, List<InetSocketAddress> seeds, Random random, long nowNanos) {
        this.self = self;
        this.incarnation = incarnation;
        this.seeds = seeds.stream().filter(seed -> !seed.equals(self)).toList();
        this.random = random;
        startedNanos = nowNanos;
    }

    /** Notes that this VM takes no new work from now on. */
    public void leave() {
        isLeaving = true;
    }

    /**
     * Takes in what another VM says. What it says of itself holds even if it seems older: a VM whose clock was set back
     * starts again with a lower incarnation.
     *
     * @param entries the VM that speaks first, then others
     * @return whether a VM was heard of that was not known or counted as gone
     */
    public boolean merge(List<MemberEntry> entries, long nowNanos) {
        boolean hasNew = false;
        for (int i = 0; i < entries.size(); i++) {
            MemberEntry entry = entries.get(i);
            if (entry.address().equals(self)) {
                continue;
            }
            Member known = members.get(entry.address());
            boolean isOtherStart = i == 0 && known != null && entry.incarnation() != known.entry.incarnation();
            if (known == null || isOtherStart || entry.isNewerThan(known.entry)) {
                hasNew |= known == null || known.isGone(nowNanos);
                members.put(entry.address(), new Member(entry, nowNanos));
            }
        }
        members.values().removeIf(member -> nowNanos - member.heardAtNanos > FORGET_NANOS);
        return hasNew;
    }

    /** Takes any message as a sign of life of a VM that is known. */
    public void recordContact(InetSocketAddress sender, long nowNanos) {
        Member known = members.get(sender);
        if (known != null && !known.isGone(nowNanos)) {
            members.put(sender, new Member(known.entry, nowNanos));
        }
    }

    /** Returns what this VM says in its next message: of itself first, then the latest it heard of others. */
    public List<MemberEntry> nextEntries(boolean isComplete, long nowNanos) {
        heartbeat++;
        List<Member> others = new ArrayList<>(members.values());
        others.removeIf(member -> member.isGone(nowNanos));
        Collections.shuffle(others, random);
        others.sort(Comparator.comparingLong(member -> nowNanos - member.heardAtNanos));
        int limit = isComplete ? others.size() : Math.min(ENTRIES_PER_MESSAGE, others.size());
        List<MemberEntry> entries = new ArrayList<>();
        entries.add(new MemberEntry(self, incarnation, heartbeat, isLeaving));
        others.subList(0, limit).forEach(member -> entries.add(member.entry));
        return entries;
    }

    /** Returns the VM that hears the next message: a live one, or a seed while few are known. */
    public Optional<InetSocketAddress> nextGossipTarget(long nowNanos) {
        List<InetSocketAddress> live = live(nowNanos);
        boolean asksSeed = !seeds.isEmpty() && (live.size() < seeds.size() || random.nextInt(8) == 0);
        List<InetSocketAddress> receivers = asksSeed ? seeds : live;
        return receivers.isEmpty() ? Optional.empty() : Optional.of(receivers.get(random.nextInt(receivers.size())));
    }

    /** Returns the addresses of the other VMs that count as live. */
    public List<InetSocketAddress> live(long nowNanos) {
        return members.values().stream()
                .filter(member -> !member.isGone(nowNanos))
                .map(member -> member.entry.address())
                .toList();
    }

    /** Returns one of the other VMs that count as live, chosen at random. */
    public Optional<InetSocketAddress> randomLive(long nowNanos) {
        List<InetSocketAddress> live = live(nowNanos);
        return live.isEmpty() ? Optional.empty() : Optional.of(live.get(random.nextInt(live.size())));
    }

    /**
     * Returns the number of VMs among which shares of limits are divided: those that were live of late, with this one.
     * A VM that has just started knows only some of them and assumes a large fleet.
     */
    public int fleetSize(long nowNanos) {
        int known = members.size() + 1;
        return nowNanos - startedNanos < JOINING_NANOS ? Math.max(known, ASSUMED_FLEET) : known;
    }

    /** Returns the place of this VM among the live ones, in an order that all VMs share. */
    public int rank(long nowNanos) {
        Comparator<InetSocketAddress> order = Comparator.<InetSocketAddress>comparingInt(Membership::mixed)
                .thenComparing(InetSocketAddress::toString);
        return (int) members.values().stream()
                .filter(member -> !member.isGone(nowNanos) && !member.entry.isLeaving())
                .filter(member -> order.compare(member.entry.address(), self) < 0)
                .count();
    }

    /** Returns the time since this VM started, in nanoseconds. */
    public long ageNanos(long nowNanos) {
        return nowNanos - startedNanos;
    }

    private static int mixed(InetSocketAddress address) {
        int hash = address.hashCode() * 0x9E3779B9;
        return hash ^ (hash >>> 15);
    }

    private record Member(MemberEntry entry, long heardAtNanos) {
        boolean isGone(long nowNanos) {
            return nowNanos - heardAtNanos > GONE_NANOS;
        }
    }
}
