package io.coppershelf.ticket.internal.spread;

import io.coppershelf.membership.FleetView;
import io.coppershelf.membership.Vm;
import io.coppershelf.ticket.ApplyResult;
import io.coppershelf.ticket.Configuration;
import io.coppershelf.ticket.ConfigurationStore;
import io.coppershelf.ticket.ObjectVersion;
import io.coppershelf.ticket.Ticket;
import io.coppershelf.ticket.TicketDigest;
import io.coppershelf.ticket.internal.spread.SpreadAction.AlarmConflict;
import io.coppershelf.ticket.internal.spread.SpreadAction.Publish;
import io.coppershelf.ticket.internal.spread.SpreadAction.Pull;
import io.coppershelf.ticket.internal.spread.SpreadAction.Ready;
import io.coppershelf.ticket.internal.spread.SpreadAction.RequestRepair;
import io.coppershelf.ticket.internal.spread.SpreadEvent.AnnouncementAcknowledged;
import io.coppershelf.ticket.internal.spread.SpreadEvent.AnnouncementFailed;
import io.coppershelf.ticket.internal.spread.SpreadEvent.AnnouncementReceived;
import io.coppershelf.ticket.internal.spread.SpreadEvent.BucketsReceived;
import io.coppershelf.ticket.internal.spread.SpreadEvent.FleetChanged;
import io.coppershelf.ticket.internal.spread.SpreadEvent.PlatformRead;
import io.coppershelf.ticket.internal.spread.SpreadEvent.PlatformReadFailed;
import io.coppershelf.ticket.internal.spread.SpreadEvent.PullFailed;
import io.coppershelf.ticket.internal.spread.SpreadEvent.Pulled;
import io.coppershelf.ticket.internal.spread.SpreadEvent.RepairFailed;
import io.coppershelf.ticket.internal.spread.SpreadEvent.RepairReplied;
import io.coppershelf.ticket.internal.spread.SpreadEvent.RepairRequested;
import io.coppershelf.ticket.internal.spread.SpreadEvent.Summary;
import io.coppershelf.ticket.internal.spread.SpreadEvent.Tick;
import io.coppershelf.ticket.internal.spread.SpreadEvent.VersionsReceived;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * State machine for the spread of tickets: handles one event at a time and returns the actions that its driver
 * executes. Not thread-safe.
 *
 * <p>Each object keeps the version of the highest ticket number seen, so reordered or repeated tickets and stale
 * sources can't revert it.
 */
final class TicketSpread {
    static final long TICK_MILLIS = 100;
    private static final int WATCHERS_PER_DATA_CENTRE = 2;
    private static final int REPAIR_PEERS_AT_START = 8;
    private static final long MIN_REPAIR_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long REPAIR_INTERVAL_NANOS_PER_VM = TimeUnit.MICROSECONDS.toNanos(1350);
    private static final long START_REPAIR_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final long SESSION_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final ConfigurationStore store = new ConfigurationStore();
    private final RecentTickets recentTickets = new RecentTickets();
    private final ReadinessGate gate = new ReadinessGate();
    private final PendingPulls pulls = new PendingPulls();
    private final Random random;
    private final RumorList rumors;
    private final PlatformWatch watch;
    private final long joinDeadlineNanos;
    private FleetView view;
    private Optional<RepairSession> session = Optional.empty();
    private Optional<Vm> repairPeer = Optional.empty();
    private long sessionStartNanos;
    private long nextRepairNanos;

    /**
     * Creates the state of a VM without a configuration.
     *
     * @param joinNanos the time that the membership may take to discover peers; until then an empty fleet view doesn't
     *     mean that there are none
     * @param seed the seed of all random choices
     */
    TicketSpread(FleetView view, long joinNanos, long seed, long nowNanos) {
        this.view = view;
        random = new Random(seed);
        rumors = new RumorList(random);
        watch = new PlatformWatch(random, nowNanos);
        joinDeadlineNanos = nowNanos + joinNanos;
        nextRepairNanos = nowNanos;
    }

    /** Returns the configuration in force. */
    Configuration configuration() {
        return store.snapshot();
    }

    /** Returns whether this VM may serve. */
    boolean isReady() {
        return gate.isReady();
    }

    /** Returns whether this VM has seen the ticket. */
    boolean hasSeen(TicketKey key) {
        return recentTickets.contains(key);
    }

    /** Returns the JSON document of a ticket for a peer that pulls it. */
    Optional<byte[]> document(TicketKey key) {
        return recentTickets.document(key);
    }

    /** Returns the summary of the configuration that this VM sends to peers. */
    Summary summary(long nowNanos) {
        return new Summary(configuration().digest(), gate.isReady(), watch.ageMillis(nowNanos));
    }

    /** Returns the digest of each bucket of the configuration. */
    long[] bucketDigests() {
        return store.bucketDigests();
    }

    /** Returns the versions in force of one bucket. */
    List<ObjectVersion> versions(int bucket) {
        return store.versions(bucket);
    }

    /** Handles one event and returns the actions to execute. */
    List<SpreadAction> handle(SpreadEvent event, long nowNanos) {
        List<SpreadAction> actions = new ArrayList<>();
        if (event instanceof Tick) {
            handleTick(nowNanos, actions);
        } else if (event instanceof FleetChanged changed) {
            view = changed.view();
        } else if (event instanceof PlatformRead read) {
            handlePlatformRead(read, nowNanos, actions);
        } else if (event instanceof PlatformReadFailed) {
            watch.recordFailure(nowNanos);
        } else {
            handlePeerEvent(event, nowNanos, actions);
        }
        gate.open(view, watch, nowNanos - joinDeadlineNanos < 0).ifPresent(reason -> actions.add(new Ready(reason)));
        return actions;
    }

    private void handlePeerEvent(SpreadEvent event, long nowNanos, List<SpreadAction> actions) {
        if (event instanceof AnnouncementReceived announcement) {
            handleAnnouncement(announcement, actions);
        } else if (event instanceof AnnouncementAcknowledged acknowledged) {
            rumors.recordReply(acknowledged.key(), acknowledged.wasKnown());
        } else if (event instanceof AnnouncementFailed failed) {
            rumors.recordFailure(failed.target(), failed.key());
        } else if (event instanceof Pulled pulled) {
            handlePulled(pulled, nowNanos, actions);
        } else if (event instanceof PullFailed failed) {
            pullFromNext(failed.key(), actions);
        } else if (event instanceof RepairRequested request) {
            handleRepairRequest(request, nowNanos);
        } else if (event instanceof RepairReplied reply) {
            handleRepairReply(reply, nowNanos, actions);
        } else if (event instanceof BucketsReceived buckets) {
            handleBuckets(buckets, actions);
        } else if (event instanceof VersionsReceived versions) {
            handleVersions(versions, actions);
        } else if (event instanceof RepairFailed failed) {
            session = session.filter(present -> !present.isWith(failed.target()));
        }
    }

    private void handleTick(long nowNanos, List<SpreadAction> actions) {
        watch.nextRead(isWatcher(), view.vms().size(), repairIntervalNanos(), nowNanos)
                .ifPresent(actions::add);
        actions.addAll(rumors.announcements(view, nowNanos));
        if (nowNanos - nextRepairNanos >= 0) {
            long interval = gate.isReady() ? repairIntervalNanos() : START_REPAIR_INTERVAL_NANOS;
            nextRepairNanos = nowNanos + interval / 2 + random.nextLong(interval);
            requestRepair(actions);
        }
    }

    private boolean isWatcher() {
        Vm self = view.self();
        String dataCentre = self.dataCentre();
        return view.ranked("ticket-watch/" + dataCentre, dataCentre, WATCHERS_PER_DATA_CENTRE)
                .contains(self);
    }

    private long repairIntervalNanos() {
        return Math.max(
                MIN_REPAIR_INTERVAL_NANOS,
                REPAIR_INTERVAL_NANOS_PER_VM * view.vms().size());
    }

    private void requestRepair(List<SpreadAction> actions) {
        if (repairPeer.isPresent()) {
            actions.add(new RequestRepair(repairPeer.get()));
            repairPeer = Optional.empty();
            return;
        }
        List<Vm> peers = new ArrayList<>(view.vms());
        peers.remove(view.self());
        Collections.shuffle(peers, random);
        peers.sort(Comparator.comparing(peer -> gate.isKnownIdle(peer.id())));
        peers.stream()
                .limit(gate.isReady() ? 1 : REPAIR_PEERS_AT_START)
                .forEach(peer -> actions.add(new RequestRepair(peer)));
    }

    private void handlePlatformRead(PlatformRead read, long nowNanos, List<SpreadAction> actions) {
        watch.recordAnswer(read.position(), read.position() != read.requestedPosition(), nowNanos);
        SortedSet<Long> numbers = new TreeSet<>();
        for (Ticket ticket : read.tickets()) {
            apply(ticket, Optional.empty(), nowNanos, numbers, actions);
        }
        publish(numbers, nowNanos, actions);
    }

    private void handleAnnouncement(AnnouncementReceived event, List<SpreadAction> actions) {
        rumors.recordKnownBy(event.sender(), event.key());
        if (!recentTickets.contains(event.key()) && pulls.begin(event.key(), event.sender())) {
            pullFrom(event.sender(), event.key(), actions);
        }
    }

    private void pullFrom(String peer, TicketKey key, List<SpreadAction> actions) {
        Optional<Vm> source = view.vm(peer);
        if (source.isEmpty()) {
            pullFromNext(key, actions);
            return;
        }
        actions.add(new Pull(source.get(), key));
    }

    private void pullFromNext(TicketKey key, List<SpreadAction> actions) {
        pulls.nextSource(key).ifPresent(peer -> pullFrom(peer, key, actions));
    }

    private void handlePulled(Pulled event, long nowNanos, List<SpreadAction> actions) {
        SortedSet<Long> numbers = new TreeSet<>();
        apply(event.ticket(), Optional.of(event.sender()), nowNanos, numbers, actions);
        publish(numbers, nowNanos, actions);
    }

    /**
     * Applies a ticket and announces it if it is new. Before this VM is ready, repair distributes tickets and nothing
     * is announced.
     */
    private void apply(
            Ticket ticket,
            Optional<String> source,
            long nowNanos,
            SortedSet<Long> numbers,
            List<SpreadAction> actions) {
        TicketKey key = new TicketKey(ticket.number(), TicketDigest.of(ticket));
        pulls.end(key);
        if (!recentTickets.add(key, ticket)) {
            return;
        }
        ApplyResult result = store.apply(ticket);
        if (result.conflict()) {
            actions.add(new AlarmConflict(ticket.number()));
        }
        if (!result.changed().isEmpty()) {
            numbers.add(ticket.number());
        }
        if (gate.isReady() && !result.hasNoEffect()) {
            rumors.begin(key, source, nowNanos);
        }
    }

    private void publish(SortedSet<Long> numbers, long nowNanos, List<SpreadAction> actions) {
        if (!numbers.isEmpty()) {
            actions.add(new Publish(numbers));
            actions.addAll(rumors.announcements(view, nowNanos));
        }
    }

    private void handleRepairRequest(RepairRequested event, long nowNanos) {
        watch.recordReportedAge(event.summary().platformAgeMillis(), nowNanos);
        gate.recordPeer(event.sender(), event.summary().isReady());
        boolean isBehind = event.summary().isReady()
                && event.summary().digest() != configuration().digest();
        if (isBehind) {
            repairPeer = view.vm(event.sender());
            nextRepairNanos = Math.min(nextRepairNanos, nowNanos + START_REPAIR_INTERVAL_NANOS);
        }
    }

    private void handleRepairReply(RepairReplied event, long nowNanos, List<SpreadAction> actions) {
        Summary summary = event.summary();
        watch.recordReportedAge(summary.platformAgeMillis(), nowNanos);
        gate.recordPeer(event.sender(), summary.isReady());
        if (summary.digest() == configuration().digest()) {
            completeRepair(summary.isReady());
            return;
        }
        Optional<Vm> peer = view.vm(event.sender());
        boolean isBusy = session.isPresent() && nowNanos - sessionStartNanos < SESSION_TIMEOUT_NANOS;
        boolean isBeingPulled = gate.isReady() && !pulls.isEmpty();
        if (peer.isEmpty() || isBusy || isBeingPulled) {
            return;
        }
        RepairSession started = new RepairSession(peer.get(), summary.isReady());
        List<Long> local = BucketTree.groupDigests(store.bucketDigests());
        started.start(BucketTree.differing(local, event.groupDigests())).ifPresent(request -> {
            session = Optional.of(started);
            sessionStartNanos = nowNanos;
            actions.add(request);
        });
    }

    private void handleBuckets(BucketsReceived event, List<SpreadAction> actions) {
        Optional<RepairSession> present = session.filter(active -> active.isWith(event.sender()));
        present.ifPresent(active ->
                continueRepair(active, active.compare(store.bucketDigests(), event.bucketDigests()), actions));
    }

    private void handleVersions(VersionsReceived event, List<SpreadAction> actions) {
        Optional<RepairSession> present = session.filter(active -> active.isWith(event.sender()));
        if (present.isEmpty()) {
            return;
        }
        SortedSet<Long> numbers = new TreeSet<>();
        for (ObjectVersion version : event.versions()) {
            ApplyResult result = store.apply(version);
            if (result.conflict()) {
                actions.add(new AlarmConflict(version.ticket()));
            }
            if (!result.changed().isEmpty()) {
                numbers.add(version.ticket());
            }
        }
        if (!numbers.isEmpty()) {
            actions.add(new Publish(numbers));
        }
        continueRepair(present.get(), present.get().next(), actions);
    }

    private void continueRepair(
            RepairSession active, Optional<SpreadAction.RequestVersions> request, List<SpreadAction> actions) {
        if (request.isPresent()) {
            actions.add(request.get());
            return;
        }
        session = Optional.empty();
        completeRepair(active.isServing());
    }

    private void completeRepair(boolean isServing) {
        if (isServing) {
            gate.markSynchronized();
        }
    }
}
