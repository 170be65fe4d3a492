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
 * The decisions on which VMs are live: an event and the time in, actions out. Not safe for use by several threads.
 *
 * <p>A VM counts as gone when the platform's list drops it, or when several VMs probed it in vain and it did not deny
 * that in time. Nothing is held against others right after a pause of this VM.
 *
 * @see <a href="https://doi.org/10.1109/DSN.2002.1028914">Das, Gupta and Motivala, SWIM: Scalable Weakly-consistent
 *     Infection-style Process Group Membership Protocol, 2002</a>
 */
final class MembershipDecisions {
    static final long TICK_MILLIS = 100;
    static final long PROBE_TIMEOUT_MILLIS = 500;
    private static final long PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long REVIVAL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long JOIN_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long SUSPICION_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long JUDGEMENT_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long SHORTEST_PULL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long PULL_NANOS_PER_MEMBER = TimeUnit.MILLISECONDS.toNanos(250);
    private static final long LIST_PULL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int WITNESSES = 3;
    private static final int TOLD_OF_LEAVING = 64;

    private final MemberTable table;
    private final GossipQueue gossip = new GossipQueue();
    private final FailedProbeReports accusations = new FailedProbeReports();
    private final Random random;
    private final ProbeOrder liveOrder;
    private final ProbeOrder goneOrder;
    private MemberUpdate self;
    private boolean hasJoined;
    private long lastTickNanos;
    private long judgesFromNanos;
    private long lastProbeNanos;
    private long lastRevivalNanos;
    private long lastJoinNanos;
    private long lastPullNanos;
    private long lastListPullNanos;

    /**
     * Creates the decisions of a VM that knows of no other.
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
        judgesFromNanos = nowNanos;
        lastProbeNanos = nowNanos;
        lastRevivalNanos = nowNanos;
        lastJoinNanos = nowNanos - JOIN_INTERVAL_NANOS;
        lastPullNanos = nowNanos;
        lastListPullNanos = nowNanos - LIST_PULL_INTERVAL_NANOS;
    }

    /** Returns what this VM says of itself. */
    MemberUpdate self() {
        return self;
    }

    /** Returns whether the VM counts as live in this incarnation. */
    boolean isLive(Vm vm) {
        return table.live(vm).isPresent();
    }

    /** Returns the statements to send with the next message to the VM, one about itself first if that is bad news. */
    List<MemberUpdate> gossipFor(String receiver) {
        List<MemberUpdate> updates = new ArrayList<>();
        table.member(receiver)
                .filter(member -> !member.hasStatus(MemberStatus.ALIVE))
                .ifPresent(member -> updates.add(member.update()));
        updates.addAll(gossip.nextUpdates(table.liveCount() + 1));
        return updates;
    }

    /** Returns all statements, for a VM that joins or repairs its knowledge. */
    List<MemberUpdate> allUpdates() {
        List<MemberUpdate> all = table.updates();
        all.add(self);
        return all;
    }

    /** Returns a digest over all statements on live VMs. */
    long digest() {
        return table.digest() ^ self.hash();
    }

    /** Returns the revision of the platform's list in force, 0 if there is none. */
    long listRevision() {
        return table.listRevision();
    }

    /** Returns the platform's list in force. */
    List<Vm> list() {
        return table.list();
    }

    /** Returns the snapshot to publish. */
    FleetSnapshot view() {
        return table.view(self.vm());
    }

    /** Takes in one event. */
    List<MembershipAction> handle(MembershipEvent event, long nowNanos) {
        List<MembershipAction> actions = new ArrayList<>();
        long before = table.version();
        MemberUpdate selfBefore = self;
        dispatch(event, nowNanos, actions);
        if (table.version() != before || self.vm().leaving() != selfBefore.vm().leaving()) {
            actions.add(new Publish());
        }
        return actions;
    }

    private void dispatch(MembershipEvent event, long nowNanos, List<MembershipAction> actions) {
        if (event instanceof Tick) {
            tick(nowNanos, actions);
        } else if (event instanceof ProbeAnswered answered) {
            answered(answered, nowNanos, actions);
        } else if (event instanceof ProbeFailed failed) {
            failed(failed, nowNanos, actions);
        } else if (event instanceof IndirectProbeEnded verdict) {
            verdictHeard(verdict, nowNanos, actions);
        } else if (event instanceof UpdatesReceived heard) {
            heard.updates().forEach(update -> merge(update, nowNanos, actions));
        } else if (event instanceof Introduced introduced) {
            introduced(introduced.sender(), actions);
        } else if (event instanceof ListReceived listed) {
            listed(listed, nowNanos, actions);
        } else if (event instanceof LeaveReceived leave) {
            leaveHeard(leave, actions);
        } else if (event instanceof LeaveStarted) {
            leaveBegun(actions);
        }
    }

    private void tick(long nowNanos, List<MembershipAction> actions) {
        if (nowNanos - lastTickNanos >= PAUSE_NANOS) {
            afterPause(nowNanos, actions);
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
        if (nowNanos - lastRevivalNanos >= REVIVAL_INTERVAL_NANOS) {
            lastRevivalNanos = nowNanos;
            goneOrder
                    .next(table::recoverableIds, table::isRecoverable)
                    .ifPresent(id -> actions.add(new Probe(table.require(id).probeTarget())));
        }
        if (nowNanos - judgesFromNanos >= 0) {
            confirmSuspects(nowNanos, actions);
        }
        table.removeOld(nowNanos);
    }

    private void afterPause(long nowNanos, List<MembershipAction> actions) {
        judgesFromNanos = nowNanos + JUDGEMENT_DELAY_NANOS;
        accusations.clearAll();
        actions.add(new RecordChange("This VM was paused for " + (nowNanos - lastTickNanos) / 1_000_000 + " ms."));
    }

    private void confirmSuspects(long nowNanos, List<MembershipAction> actions) {
        for (Member member : table.withStatus(MemberStatus.SUSPECT)) {
            long changedNanos = member.changedNanos();
            boolean isFromBefore = changedNanos - judgesFromNanos < 0;
            long sinceNanos = isFromBefore ? judgesFromNanos : changedNanos;
            boolean isOverdue = nowNanos - sinceNanos >= SUSPICION_NANOS;
            if (isOverdue && !member.hasAnsweredSince(changedNanos)) {
                merge(member.update().withStatus(MemberStatus.GONE), nowNanos, actions);
            }
        }
    }

    private void answered(ProbeAnswered event, long nowNanos, List<MembershipAction> actions) {
        hasJoined = true;
        MemberUpdate answerer = event.answerer();
        if (answerer.vm().id().equals(self.vm().id())) {
            return;
        }
        accusations.clear(answerer.vm().id());
        merge(answerer, nowNanos, actions);
        event.updates().forEach(update -> merge(update, nowNanos, actions));
        table.member(answerer.vm().id())
                .filter(member ->
                        member.update().vm().incarnation() == answerer.vm().incarnation())
                .ifPresent(member -> table.markAnswered(member, nowNanos));
        fetchWhatIsMissing(event, nowNanos, actions);
    }

    private void fetchWhatIsMissing(ProbeAnswered event, long nowNanos, List<MembershipAction> actions) {
        Vm answerer = event.answerer().vm();
        long pullInterval = Math.max(SHORTEST_PULL_INTERVAL_NANOS, PULL_NANOS_PER_MEMBER * table.liveCount());
        if (event.digest() != digest() && nowNanos - lastPullNanos >= pullInterval) {
            lastPullNanos = nowNanos;
            actions.add(new Pull(answerer));
        }
        boolean isListFresher = event.listRevision() > table.listRevision() && isLive(answerer);
        if (isListFresher && nowNanos - lastListPullNanos >= LIST_PULL_INTERVAL_NANOS) {
            lastListPullNanos = nowNanos;
            actions.add(new MembershipAction.PullList(answerer));
        }
    }

    private void failed(ProbeFailed event, long nowNanos, List<MembershipAction> actions) {
        Optional<Member> member = table.live(event.target());
        if (member.isEmpty() || event.beganNanos() - judgesFromNanos < 0 || isPausedNow(nowNanos)) {
            return;
        }
        table.markUnanswered(member.get());
        accusations.begin(event.target(), self.vm().id());
        List<Vm> witnesses = table.answeringOthers(event.target().id());
        Collections.shuffle(witnesses, random);
        witnesses.stream().limit(WITNESSES).forEach(witness -> actions.add(new IndirectProbe(witness, event.target())));
    }

    private void verdictHeard(IndirectProbeEnded event, long nowNanos, List<MembershipAction> actions) {
        if (event.isReached()) {
            accusations.clear(event.target().id());
            return;
        }
        Optional<Member> member = table.live(event.target());
        if (member.isEmpty() || event.beganNanos() - judgesFromNanos < 0 || isPausedNow(nowNanos)) {
            return;
        }
        if (accusations.add(event.target(), event.witness(), table.liveCount())) {
            accusations.clear(event.target().id());
            merge(member.get().update().withStatus(MemberStatus.SUSPECT), nowNanos, actions);
        }
    }

    private boolean isPausedNow(long nowNanos) {
        return nowNanos - lastTickNanos >= PAUSE_NANOS;
    }

    private void introduced(MemberUpdate sender, List<MembershipAction> actions) {
        boolean isNews = table.member(sender.vm().id())
                .map(member -> sender.replaces(member.update()))
                .orElse(true);
        if (isNews && !sender.vm().id().equals(self.vm().id())) {
            actions.add(new Probe(sender.vm()));
        }
    }

    private void listed(ListReceived event, long nowNanos, List<MembershipAction> actions) {
        table.applyList(event, nowNanos).forEach(text -> actions.add(new RecordChange(text)));
        event.vms().stream()
                .filter(vm -> vm.id().equals(self.vm().id()) && vm.leaving() && isThisIncarnation(vm))
                .findAny()
                .ifPresent(listedSelf -> self = self.asLeaving());
    }

    private boolean isThisIncarnation(Vm vm) {
        return vm.incarnation() == self.vm().incarnation();
    }

    private void leaveHeard(LeaveReceived event, List<MembershipAction> actions) {
        table.member(event.id())
                .filter(member -> member.update().vm().incarnation() == event.incarnation())
                .flatMap(table::markLeaving)
                .ifPresent(text -> {
                    gossip.add(table.require(event.id()).update());
                    actions.add(new RecordChange(text));
                });
    }

    private void leaveBegun(List<MembershipAction> actions) {
        self = self.asLeaving();
        gossip.add(self);
        List<Vm> told = table.liveVms();
        Collections.shuffle(told, random);
        told.stream().limit(TOLD_OF_LEAVING).forEach(vm -> actions.add(new SendLeave(vm)));
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

    /** Denies bad news about this VM, so that they end wherever the denial arrives. */
    private void refute(MemberUpdate update) {
        if (isThisIncarnation(update.vm()) && update.replaces(self)) {
            self = new MemberUpdate(self.vm(), update.refutation() + 1, MemberStatus.ALIVE);
            gossip.add(self);
        }
    }
}
