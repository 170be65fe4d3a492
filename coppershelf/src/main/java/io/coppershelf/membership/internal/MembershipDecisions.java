package io.coppershelf.membership.internal;

import io.coppershelf.membership.Vm;
import io.coppershelf.membership.internal.MembershipAction.IndirectProbe;
import io.coppershelf.membership.internal.MembershipAction.Join;
import io.coppershelf.membership.internal.MembershipAction.Probe;
import io.coppershelf.membership.internal.MembershipAction.Publish;
import io.coppershelf.membership.internal.MembershipAction.Pull;
import io.coppershelf.membership.internal.MembershipAction.RecordChange;
import io.coppershelf.membership.internal.MembershipAction.SendLeave;
import io.coppershelf.membership.internal.MembershipEvent.IndirectProbeEnded;
import io.coppershelf.membership.internal.MembershipEvent.Introduced;
import io.coppershelf.membership.internal.MembershipEvent.LeaveReceived;
import io.coppershelf.membership.internal.MembershipEvent.LeaveStarted;
import io.coppershelf.membership.internal.MembershipEvent.ListReceived;
import io.coppershelf.membership.internal.MembershipEvent.ProbeAnswered;
import io.coppershelf.membership.internal.MembershipEvent.ProbeFailed;
import io.coppershelf.membership.internal.MembershipEvent.Tick;
import io.coppershelf.membership.internal.MembershipEvent.UpdatesReceived;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * The decisions on which VMs are live: an event and the time in, actions out. Not thread-safe.
 *
 * <p>A VM is marked as gone when the platform's VM list drops it, or when probes of several VMs fail and it does not
 * refute the suspicion in time. Failed probes right after a pause of this VM are ignored.
 *
 * @see <a href="https://doi.org/10.1109/DSN.2002.1028914">Das, Gupta and Motivala, SWIM: Scalable Weakly-consistent
 *     Infection-style Process Group Membership Protocol, 2002</a>
 */
final class MembershipDecisions {
    static final long TICK_MILLIS = 100;
    static final long PROBE_TIMEOUT_MILLIS = 500;
    private static final long PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long RECOVERY_PROBE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long JOIN_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long SUSPICION_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long PAUSE_THRESHOLD_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long IGNORE_FAILURES_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long MIN_PULL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long PULL_INTERVAL_NANOS_PER_MEMBER = TimeUnit.MILLISECONDS.toNanos(250);
    private static final long LIST_PULL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_WITNESSES = 3;
    private static final int MAX_LEAVE_RECEIVERS = 64;

    private final MemberTable table;
    private final GossipQueue gossip = new GossipQueue();
    private final FailedProbeReports failedProbeReports = new FailedProbeReports();
    private final Random random;
    private final ProbeOrder liveOrder;
    private final ProbeOrder goneOrder;
    private MemberUpdate self;
    private boolean hasJoined;
    private long lastTickNanos;
    private long ignoreFailuresUntilNanos;
    private long lastProbeNanos;
    private long lastRecoveryProbeNanos;
    private long lastJoinNanos;
    private long lastPullNanos;
    private long lastListPullNanos;

    /**
     * Creates the decisions of a VM that knows no other VM.
     *
     * @param self this VM
     * @param seed the seed of all random choices
     * @param nowNanos the monotonic time
     */
    MembershipDecisions(Vm self, long seed, long nowNanos) {
        this.self = new MemberUpdate(self, 0, MemberStatus.ALIVE);
        random = new Random(seed);
        liveOrder = new ProbeOrder(random);
        goneOrder = new ProbeOrder(random);
        table = new MemberTable(self.id());
        lastTickNanos = nowNanos;
        ignoreFailuresUntilNanos = nowNanos;
        lastProbeNanos = nowNanos;
        lastRecoveryProbeNanos = nowNanos;
        lastJoinNanos = nowNanos - JOIN_INTERVAL_NANOS;
        lastPullNanos = nowNanos;
        lastListPullNanos = nowNanos - LIST_PULL_INTERVAL_NANOS;
    }

    /** Returns the update of this VM about itself. */
    MemberUpdate self() {
        return self;
    }

    /** Returns whether the VM is live in this incarnation. */
    boolean isLive(Vm vm) {
        return table.live(vm).isPresent();
    }

    /**
     * Returns the updates to send with the next message to the VM; if it is suspected or gone, the update about it
     * first.
     */
    List<MemberUpdate> gossipFor(String receiver) {
        List<MemberUpdate> updates = new ArrayList<>();
        table.member(receiver)
                .filter(member -> !member.hasStatus(MemberStatus.ALIVE))
                .ifPresent(member -> updates.add(member.update()));
        updates.addAll(gossip.nextUpdates(table.liveCount() + 1));
        return updates;
    }

    /** Returns all updates, for a VM that joins or whose digest differs. */
    List<MemberUpdate> allUpdates() {
        List<MemberUpdate> all = table.updates();
        all.add(self);
        return all;
    }

    /** Returns a digest of all updates about live VMs. */
    long digest() {
        return table.digest() ^ self.hash();
    }

    /** Returns the revision of the last VM list of the platform, 0 if there is none. */
    long listRevision() {
        return table.listRevision();
    }

    /** Returns the last VM list of the platform. */
    List<Vm> list() {
        return table.list();
    }

    /** Returns the snapshot to publish. */
    FleetSnapshot view() {
        return table.view(self.vm());
    }

    /** Handles an event; returns the actions to carry out. */
    List<MembershipAction> handle(MembershipEvent event, long nowNanos) {
        List<MembershipAction> actions = new ArrayList<>();
        long versionBefore = table.version();
        MemberUpdate selfBefore = self;
        dispatch(event, nowNanos, actions);
        if (table.version() != versionBefore
                || self.vm().leaving() != selfBefore.vm().leaving()) {
            actions.add(new Publish());
        }
        return actions;
    }

    private void dispatch(MembershipEvent event, long nowNanos, List<MembershipAction> actions) {
        if (event instanceof Tick) {
            onTick(nowNanos, actions);
        } else if (event instanceof ProbeAnswered answered) {
            onProbeAnswered(answered, nowNanos, actions);
        } else if (event instanceof ProbeFailed failed) {
            onProbeFailed(failed, nowNanos, actions);
        } else if (event instanceof IndirectProbeEnded ended) {
            onIndirectProbeEnded(ended, nowNanos, actions);
        } else if (event instanceof UpdatesReceived received) {
            received.updates().forEach(update -> merge(update, nowNanos, actions));
        } else if (event instanceof Introduced introduced) {
            onIntroduced(introduced.sender(), actions);
        } else if (event instanceof ListReceived received) {
            onListReceived(received, nowNanos, actions);
        } else if (event instanceof LeaveReceived leave) {
            onLeaveReceived(leave, actions);
        } else if (event instanceof LeaveStarted) {
            onLeaveStarted(actions);
        }
    }

    private void onTick(long nowNanos, List<MembershipAction> actions) {
        if (nowNanos - lastTickNanos >= PAUSE_THRESHOLD_NANOS) {
            onOwnPause(nowNanos, actions);
        }
        lastTickNanos = nowNanos;
        if (!hasJoined && nowNanos - lastJoinNanos >= JOIN_INTERVAL_NANOS) {
            lastJoinNanos = nowNanos;
            actions.add(new Join());
        }
        if (nowNanos - lastProbeNanos >= PROBE_INTERVAL_NANOS) {
            lastProbeNanos = nowNanos;
            liveOrder
                    .next(table::liveIds, table::isLive)
                    .ifPresent(id -> actions.add(new Probe(table.require(id).probeTarget())));
        }
        if (nowNanos - lastRecoveryProbeNanos >= RECOVERY_PROBE_INTERVAL_NANOS) {
            lastRecoveryProbeNanos = nowNanos;
            goneOrder
                    .next(table::recoverableIds, table::isRecoverable)
                    .ifPresent(id -> actions.add(new Probe(table.require(id).probeTarget())));
        }
        if (nowNanos - ignoreFailuresUntilNanos >= 0) {
            confirmSuspects(nowNanos, actions);
        }
        table.removeOld(nowNanos);
    }

    private void onOwnPause(long nowNanos, List<MembershipAction> actions) {
        ignoreFailuresUntilNanos = nowNanos + IGNORE_FAILURES_NANOS;
        failedProbeReports.clearAll();
        actions.add(new RecordChange("This VM was paused for " + (nowNanos - lastTickNanos) / 1_000_000 + " ms."));
    }

    private void confirmSuspects(long nowNanos, List<MembershipAction> actions) {
        for (Member member : table.withStatus(MemberStatus.SUSPECT)) {
            long changedNanos = member.changedNanos();
            boolean isSuspectedBefore = changedNanos - ignoreFailuresUntilNanos < 0;
            long sinceNanos = isSuspectedBefore ? ignoreFailuresUntilNanos : changedNanos;
            boolean isOverdue = nowNanos - sinceNanos >= SUSPICION_TIMEOUT_NANOS;
            if (isOverdue && !member.hasRepliedSince(changedNanos)) {
                merge(member.update().withStatus(MemberStatus.GONE), nowNanos, actions);
            }
        }
    }

    private void onProbeAnswered(ProbeAnswered event, long nowNanos, List<MembershipAction> actions) {
        hasJoined = true;
        MemberUpdate sender = event.sender();
        if (sender.vm().id().equals(self.vm().id())) {
            return;
        }
        failedProbeReports.clear(sender.vm().id());
        merge(sender, nowNanos, actions);
        event.updates().forEach(update -> merge(update, nowNanos, actions));
        table.member(sender.vm().id())
                .filter(member ->
                        member.update().vm().incarnation() == sender.vm().incarnation())
                .ifPresent(member -> table.markAnswered(member, nowNanos));
        requestMissingUpdates(event, nowNanos, actions);
    }

    private void requestMissingUpdates(ProbeAnswered event, long nowNanos, List<MembershipAction> actions) {
        Vm sender = event.sender().vm();
        long pullInterval = Math.max(MIN_PULL_INTERVAL_NANOS, PULL_INTERVAL_NANOS_PER_MEMBER * table.liveCount());
        if (event.digest() != digest() && nowNanos - lastPullNanos >= pullInterval) {
            lastPullNanos = nowNanos;
            actions.add(new Pull(sender));
        }
        boolean hasNewerList = event.listRevision() > table.listRevision() && isLive(sender);
        if (hasNewerList && nowNanos - lastListPullNanos >= LIST_PULL_INTERVAL_NANOS) {
            lastListPullNanos = nowNanos;
            actions.add(new MembershipAction.PullList(sender));
        }
    }

    private void onProbeFailed(ProbeFailed event, long nowNanos, List<MembershipAction> actions) {
        Optional<Member> member = table.live(event.target());
        if (member.isEmpty() || event.startedNanos() - ignoreFailuresUntilNanos < 0 || isPaused(nowNanos)) {
            return;
        }
        table.markUnanswered(member.get());
        failedProbeReports.begin(event.target(), self.vm().id());
        List<Vm> witnesses = table.otherRespondingVms(event.target().id());
        Collections.shuffle(witnesses, random);
        witnesses.stream()
                .limit(MAX_WITNESSES)
                .forEach(witness -> actions.add(new IndirectProbe(witness, event.target())));
    }

    private void onIndirectProbeEnded(IndirectProbeEnded event, long nowNanos, List<MembershipAction> actions) {
        if (event.isReached()) {
            failedProbeReports.clear(event.target().id());
            return;
        }
        Optional<Member> member = table.live(event.target());
        if (member.isEmpty() || event.startedNanos() - ignoreFailuresUntilNanos < 0 || isPaused(nowNanos)) {
            return;
        }
        if (failedProbeReports.add(event.target(), event.witness(), table.liveCount())) {
            failedProbeReports.clear(event.target().id());
            merge(member.get().update().withStatus(MemberStatus.SUSPECT), nowNanos, actions);
        }
    }

    private boolean isPaused(long nowNanos) {
        return nowNanos - lastTickNanos >= PAUSE_THRESHOLD_NANOS;
    }

    private void onIntroduced(MemberUpdate sender, List<MembershipAction> actions) {
        boolean isNewer = table.member(sender.vm().id())
                .map(member -> sender.supersedes(member.update()))
                .orElse(true);
        if (isNewer && !sender.vm().id().equals(self.vm().id())) {
            actions.add(new Probe(sender.vm()));
        }
    }

    private void onListReceived(ListReceived event, long nowNanos, List<MembershipAction> actions) {
        table.applyList(event, nowNanos).forEach(text -> actions.add(new RecordChange(text)));
        event.vms().stream()
                .filter(vm -> vm.id().equals(self.vm().id()) && vm.leaving() && isOwnIncarnation(vm))
                .findAny()
                .ifPresent(listedSelf -> self = self.asLeaving());
    }

    private boolean isOwnIncarnation(Vm vm) {
        return vm.incarnation() == self.vm().incarnation();
    }

    private void onLeaveReceived(LeaveReceived event, List<MembershipAction> actions) {
        table.member(event.id())
                .filter(member -> member.update().vm().incarnation() == event.incarnation())
                .flatMap(table::markLeaving)
                .ifPresent(text -> {
                    gossip.add(table.require(event.id()).update());
                    actions.add(new RecordChange(text));
                });
    }

    private void onLeaveStarted(List<MembershipAction> actions) {
        self = self.asLeaving();
        gossip.add(self);
        List<Vm> receivers = table.liveVms();
        Collections.shuffle(receivers, random);
        receivers.stream().limit(MAX_LEAVE_RECEIVERS).forEach(vm -> actions.add(new SendLeave(vm)));
    }

    private void merge(MemberUpdate update, long nowNanos, List<MembershipAction> actions) {
        if (update.vm().id().equals(self.vm().id())) {
            refute(update);
            return;
        }
        table.merge(update, nowNanos).ifPresent(text -> {
            gossip.add(table.require(update.vm().id()).update());
            if (!text.isEmpty()) {
                actions.add(new RecordChange(text));
            }
        });
    }

    /**
     * Refutes a report that this VM is suspected or gone; the refutation supersedes the report on each VM that receives
     * it.
     */
    private void refute(MemberUpdate update) {
        if (isOwnIncarnation(update.vm()) && update.supersedes(self)) {
            self = new MemberUpdate(self.vm(), update.refutation() + 1, MemberStatus.ALIVE);
            gossip.add(self);
        }
    }
}
