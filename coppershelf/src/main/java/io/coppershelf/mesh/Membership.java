package io.coppershelf.mesh;

import io.coppershelf.dispatch.FleetPosition;
import io.coppershelf.quota.FleetView;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * The membership of the fleet, maintained with heartbeat counters that spread by gossip: a VM is considered down when
 * its counter stops. Starts from a few seeds, which may be wrong or down. Free of I/O and clocks; not thread-safe.
 *
 * @see <a href="https://doi.org/10.1007/978-1-4471-1283-9_4">van Renesse, Minsky and Hayden, A Gossip-Style Failure
 *     Detection Service, 1998</a>
 */
public final class Membership {
    /** Time without a new heartbeat after which a VM is considered down; several rounds of gossip. */
    static final long DOWN_NANOS = TimeUnit.SECONDS.toNanos(8);
    /** Time without a new heartbeat after which a VM is removed; a VM that restarts sends one sooner. */
    static final long REMOVAL_NANOS = TimeUnit.SECONDS.toNanos(30);
    /** Time after its start in which the membership of a VM may be incomplete. */
    static final long JOINING_NANOS = TimeUnit.SECONDS.toNanos(5);
    /** Size of the fleet that a VM assumes during this time; about the size of the larger deployments. */
    static final int ASSUMED_FLEET_SIZE = 100;
    /**
     * Time after its start in which a VM may know a part of the fleet only. Shorter than {@link #JOINING_NANOS}: the
     * first VM that answers sends all that it knows, and tenants wait for the tokens of restarted VMs.
     */
    private static final long PARTIAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Time after its start in which a VM without contact to any other one assumes that it is cut off. */
    private static final long ALONE_NANOS = TimeUnit.SECONDS.toNanos(60);
    /** Largest number of entries of other VMs in a message, so that it fits into one packet. */
    private static final int MAX_ENTRIES_PER_MESSAGE = 16;
    /** Bits of the index of a member beside its age, which is below 2^33 ns for a live one. */
    private static final int INDEX_BITS = 20;

    private static final long INDEX_MASK = (1L << INDEX_BITS) - 1;

    /** An order of the VMs that is the same on all of them. */
    static final Comparator<InetSocketAddress> ORDER = Comparator.<InetSocketAddress>comparingInt(Membership::mixedHash)
            .thenComparing(InetSocketAddress::toString);

    private final InetSocketAddress self;
    private final String dataCentre;
    private final long incarnation;
    private final List<InetSocketAddress> seeds;
    private final Random random;
    private final long startedNanos;
    private final int joiningRank;
    private final Map<InetSocketAddress, Member> members = new HashMap<>();
    private final RecentVms recent;
    private final ReusedView view = new ReusedView();
    private Optional<LiveVms> live = Optional.empty();
    private long heartbeat;
    private boolean isLeaving;
    private int relayPort;
    private boolean isCutOff;

    /** Creates a membership of this VM alone. */
    public Membership(
            InetSocketAddress self,
            String dataCentre,
            long incarnation,
            List<InetSocketAddress> seeds,
            Random random,
            long nowNanos) {
        this.self = self;
        this.dataCentre = dataCentre;
        this.incarnation = incarnation;
        this.seeds = seeds.stream().filter(seed -> !seed.equals(self)).toList();
        this.random = random;
        startedNanos = nowNanos;
        recent = new RecentVms(nowNanos);
        joiningRank = random.nextInt(ASSUMED_FLEET_SIZE);
    }

    /** Returns the data centre of this VM. */
    String dataCentre() {
        return dataCentre;
    }

    /** Marks this VM as accepting no new requests. */
    public void leave() {
        isLeaving = true;
    }

    /** Sets the port at which this VM accepts requests of other VMs. */
    public void acceptRelays(int port) {
        relayPort = port;
    }

    /** Sets whether this VM reaches no server. */
    void cutOff(boolean newCutOff) {
        isCutOff = newCutOff;
    }

    /**
     * Returns the addresses at which other VMs accept requests that this VM can't send to servers: of the own data
     * centre if at least half of its VMs accept them, else of all.
     */
    List<InetSocketAddress> relays(long nowNanos) {
        return liveVms(nowNanos).relays();
    }

    /**
     * Merges the entries of a message of another VM. Its entry for itself is accepted even if it seems older: a VM
     * whose clock was set back restarts with a lower incarnation.
     *
     * @param entries the entry of the sender first, then those of others
     * @return whether there is an entry of a VM that was unknown or considered down
     */
    public boolean merge(List<MemberEntry> entries, long nowNanos) {
        boolean hasNew = false;
        for (int i = 0; i < entries.size(); i++) {
            MemberEntry entry = entries.get(i);
            if (entry.address().equals(self)) {
                continue;
            }
            Member known = members.get(entry.address());
            boolean hasRestarted = i == 0 && known != null && entry.incarnation() != known.entry.incarnation();
            if (known == null || hasRestarted || entry.isNewerThan(known.entry)) {
                boolean isNew = known == null || known.isDown(nowNanos);
                hasNew |= isNew;
                update(known, entry, isNew, nowNanos);
                recent.record(entry, nowNanos);
            }
        }
        members.values().removeIf(member -> nowNanos - member.updatedAtNanos > REMOVAL_NANOS);
        return hasNew;
    }

    private void update(Member known, MemberEntry entry, boolean isNew, long nowNanos) {
        if (isNew || !entry.isSameButForHeartbeat(known.entry)) {
            live = Optional.empty();
        }
        if (known == null) {
            members.put(entry.address(), new Member(entry, nowNanos));
        } else {
            known.entry = entry;
            known.updatedAtNanos = nowNanos;
        }
    }

    /** Records a message of any type from a known VM as a sign that it is alive. */
    public void recordContact(InetSocketAddress sender, long nowNanos) {
        Member known = members.get(sender);
        if (known != null && !known.isDown(nowNanos)) {
            known.updatedAtNanos = nowNanos;
        }
    }

    /** Returns the entries of the next message of this VM: its own first, then the most recent ones of others. */
    public List<MemberEntry> nextEntries(boolean isComplete, long nowNanos) {
        heartbeat++;
        List<Member> others = new ArrayList<>(members.values());
        others.removeIf(member -> member.isDown(nowNanos));
        Collections.shuffle(others, random);
        int limit = isComplete ? others.size() : Math.min(MAX_ENTRIES_PER_MESSAGE, others.size());
        long[] order = orderByAge(others, nowNanos);
        List<MemberEntry> entries = new ArrayList<>();
        entries.add(new MemberEntry(self, dataCentre, incarnation, heartbeat, isLeaving, relayPort, isCutOff));
        for (int i = 0; i < limit; i++) {
            entries.add(others.get((int) (order[i] & INDEX_MASK)).entry);
        }
        return entries;
    }

    /**
     * Returns the indexes of live members in the low bits of numbers that are ordered by the age of the members. A list
     * that is sorted with a comparator costs several times as much, and the order is needed five times a second.
     */
    private static long[] orderByAge(List<Member> live, long nowNanos) {
        long[] order = new long[live.size()];
        for (int i = 0; i < order.length; i++) {
            order[i] = Math.max(0, nowNanos - live.get(i).updatedAtNanos) << INDEX_BITS | i;
        }
        Arrays.sort(order);
        return order;
    }

    /** Returns the target of the next gossip message: a live VM, or a seed while few VMs are known. */
    public Optional<InetSocketAddress> nextGossipTarget(long nowNanos) {
        List<InetSocketAddress> live = live(nowNanos);
        boolean isSeedNext = !seeds.isEmpty() && (live.size() < seeds.size() || random.nextInt(8) == 0);
        List<InetSocketAddress> targets = isSeedNext ? seeds : live;
        return targets.isEmpty() ? Optional.empty() : Optional.of(targets.get(random.nextInt(targets.size())));
    }

    /** Returns the addresses of the other VMs that are considered live. */
    public List<InetSocketAddress> live(long nowNanos) {
        return liveVms(nowNanos).addresses();
    }

    /** Returns the VMs that receive the reports of this VM. */
    Audience audience(long nowNanos) {
        return liveVms(nowNanos).audience();
    }

    private LiveVms liveVms(long nowNanos) {
        if (live.isEmpty() || !live.get().isValidAt(nowNanos)) {
            List<MemberEntry> entries = new ArrayList<>();
            long oldestNanos = nowNanos;
            for (Member member : members.values()) {
                if (!member.isDown(nowNanos)) {
                    entries.add(member.entry);
                    oldestNanos = Math.min(oldestNanos, member.updatedAtNanos);
                }
            }
            live = Optional.of(new LiveVms(self, dataCentre, List.copyOf(entries), oldestNanos + DOWN_NANOS));
        }
        return live.get();
    }

    /** Returns one of the other VMs that are considered live, chosen at random. */
    public Optional<InetSocketAddress> randomLive(long nowNanos) {
        List<InetSocketAddress> live = live(nowNanos);
        return live.isEmpty() ? Optional.empty() : Optional.of(live.get(random.nextInt(live.size())));
    }

    /**
     * Returns the number of VMs among which limits are divided: this VM and those that were live recently. A VM that
     * has just started knows only some of them and assumes a large fleet.
     */
    public int fleetSize(long nowNanos) {
        int known = members.size() + 1;
        return isJoining(nowNanos) ? Math.max(known, ASSUMED_FLEET_SIZE) : known;
    }

    /**
     * Returns the position of this VM in the fleet. A VM that has just started takes a random rank, since VMs that
     * start together would all take the first ones.
     *
     * @param rank the rank of this VM among the live ones that it knows
     */
    FleetPosition position(int rank, long nowNanos) {
        return new FleetPosition(isJoining(nowNanos) ? joiningRank : rank, fleetSize(nowNanos));
    }

    /**
     * Returns the fleet as the usage caps of tenants need it. A VM that has just started may know a part of the fleet
     * only, so it assumes a large one; while it knows no other VM, it may be cut off.
     */
    public FleetView quotaView(long nowNanos) {
        Map<InetSocketAddress, Long> others = liveVms(nowNanos).incarnations();
        int known = recent.count(others.keySet(), nowNanos) + 1;
        boolean isAlone = others.isEmpty() && !seeds.isEmpty() && known == 1;
        boolean isPartial = ageNanos(nowNanos) < PARTIAL_NANOS;
        if (isPartial || (isAlone && ageNanos(nowNanos) < ALONE_NANOS)) {
            known = seeds.isEmpty() && others.isEmpty() ? known : Math.max(known, ASSUMED_FLEET_SIZE);
        }
        boolean isIncluded = !isLeaving || others.isEmpty();
        boolean isUncertain = isAlone && isJoining(nowNanos);
        int size = others.size() + (isIncluded ? 1 : 0);
        double liveShare = isUncertain ? 0 : Math.min(1, size / (double) known);
        return view.use(others, isIncluded, liveShare);
    }

    private boolean isJoining(long nowNanos) {
        return nowNanos - startedNanos < JOINING_NANOS;
    }

    /** Returns the rank of this VM among the live ones, in an order that is the same on all VMs. */
    public int rank(long nowNanos) {
        return liveVms(nowNanos).rank();
    }

    /** Returns the time since this VM started, in nanoseconds. */
    public long ageNanos(long nowNanos) {
        return nowNanos - startedNanos;
    }

    /** Returns a hash of an address that spreads neighbouring addresses. */
    static int mixedHash(InetSocketAddress address) {
        int hash = address.hashCode() * 0x9E3779B9;
        return hash ^ (hash >>> 15);
    }

    /** The fleet as the usage caps saw it last, which is used again until it changes. */
    private final class ReusedView {
        private Map<InetSocketAddress, Long> others = Map.of();
        private boolean isIncluded;
        private Optional<FleetView> view = Optional.empty();

        FleetView use(Map<InetSocketAddress, Long> newOthers, boolean isNowIncluded, double liveShare) {
            if (view.isEmpty()
                    || newOthers != others
                    || isNowIncluded != isIncluded
                    || view.get().liveShare() != liveShare) {
                others = newOthers;
                isIncluded = isNowIncluded;
                Map<InetSocketAddress, Long> incarnations = new HashMap<>();
                others.forEach(incarnations::put);
                if (isIncluded) {
                    incarnations.put(self, incarnation);
                }
                view = Optional.of(new FleetView(self, incarnations, liveShare));
            }
            return view.get();
        }
    }

    private static final class Member {
        private MemberEntry entry;
        private long updatedAtNanos;

        Member(MemberEntry entry, long updatedAtNanos) {
            this.entry = entry;
            this.updatedAtNanos = updatedAtNanos;
        }

        boolean isDown(long nowNanos) {
            return nowNanos - updatedAtNanos > DOWN_NANOS;
        }
    }
}
