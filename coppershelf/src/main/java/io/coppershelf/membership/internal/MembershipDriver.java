package io.coppershelf.membership.internal;

import com.google.common.flogger.FluentLogger;
import io.coppershelf.component.ControlThread;
import io.coppershelf.component.TimeSource;
import io.coppershelf.membership.FleetView;
import io.coppershelf.membership.Vm;
import io.coppershelf.membership.internal.MembershipEvent.IndirectProbeEnded;
import io.coppershelf.membership.internal.MembershipEvent.Introduced;
import io.coppershelf.membership.internal.MembershipEvent.LeaveReceived;
import io.coppershelf.membership.internal.MembershipEvent.ProbeAnswered;
import io.coppershelf.membership.internal.MembershipEvent.ProbeFailed;
import io.coppershelf.membership.internal.MembershipEvent.Tick;
import io.coppershelf.membership.internal.MembershipEvent.UpdatesReceived;
import io.coppershelf.membership.internal.MembershipMessages.JoinRequest;
import io.coppershelf.membership.internal.MembershipMessages.LeaveMessage;
import io.coppershelf.membership.internal.MembershipMessages.ListReply;
import io.coppershelf.membership.internal.MembershipMessages.ListRequest;
import io.coppershelf.membership.internal.MembershipMessages.Ping;
import io.coppershelf.membership.internal.MembershipMessages.PingReply;
import io.coppershelf.membership.internal.MembershipMessages.ProbeRequest;
import io.coppershelf.membership.internal.MembershipMessages.ProbeResult;
import io.coppershelf.operator.Timeline;
import io.coppershelf.peer.PeerExchange;
import io.coppershelf.peer.PeerExchange.Replies;
import io.coppershelf.peer.PeerMessage;
import io.coppershelf.peer.PeerReply;
import io.coppershelf.platform.Platform.PublishedVms;
import io.coppershelf.settings.Settings.Seed;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;

/** Feeds events to {@link MembershipDecisions} and carries out its actions, on the control thread. */
public final class MembershipDriver {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(MembershipDecisions.PROBE_TIMEOUT_MILLIS);
    private static final Duration INDIRECT_PROBE_TIMEOUT = PROBE_TIMEOUT.multipliedBy(2);
    private static final Duration JOIN_TIMEOUT = Duration.ofSeconds(2);

    private final MembershipDecisions decisions;
    private final List<Seed> seeds;
    private final ControlThread control;
    private final TimeSource time;
    private final PeerExchange exchange;
    private final Timeline timeline;
    private final FleetSource source;

    /** Creates a driver for the VM that is {@link FleetView#self} in the view of the source. */
    public MembershipDriver(
            FleetSource source,
            List<Seed> seeds,
            ControlThread control,
            TimeSource time,
            PeerExchange exchange,
            Timeline timeline) {
        this.source = source;
        this.seeds = List.copyOf(seeds);
        this.control = control;
        this.time = time;
        this.exchange = exchange;
        this.timeline = timeline;
        Vm self = source.current().self();
        decisions = new MembershipDecisions(self, self.id().hashCode() ^ self.incarnation(), time.nanos());
    }

    /** Registers the messages and starts to probe. */
    public void start() {
        exchange.register(MembershipMessages.PING_REPLY);
        exchange.register(MembershipMessages.PROBE_RESULT);
        exchange.register(MembershipMessages.LIST_REPLY);
        exchange.register(
                MembershipMessages.LIST_REQUEST,
                (sender, request, replies) -> control.execute(
                        () -> replies.reply(new ListReply(decisions.listRevision(), decisions.list()))));
        exchange.register(MembershipMessages.PING, this::onPing);
        exchange.register(MembershipMessages.JOIN_REQUEST, this::onJoinRequest);
        exchange.register(MembershipMessages.PROBE_REQUEST, this::onProbeRequest);
        exchange.register(
                MembershipMessages.LEAVE,
                (sender, leave, replies) -> post(new LeaveReceived(sender, leave.incarnation())));
        control.every(Duration.ofMillis(MembershipDecisions.TICK_MILLIS), () -> on(new Tick()));
    }

    /** Handles a VM list of the platform. */
    public void onList(PublishedVms list) {
        post(new MembershipEvent.ListReceived(list.revision(), list.vms()));
    }

    /** Marks this VM as leaving and notifies the peers. */
    public void leave() {
        control.execute(() -> {
            if (!decisions.self().vm().leaving()) {
                on(new MembershipEvent.LeaveStarted());
            }
        });
    }

    private void post(MembershipEvent event) {
        control.execute(() -> on(event));
    }

    private void on(MembershipEvent event) {
        decisions.handle(event, time.nanos()).forEach(this::perform);
    }

    private void perform(MembershipAction action) {
        if (action instanceof MembershipAction.Probe probe) {
            probe(probe.target());
        } else if (action instanceof MembershipAction.IndirectProbe indirect) {
            probeIndirectly(indirect);
        } else if (action instanceof MembershipAction.Pull pull) {
            pull(pull.target());
        } else if (action instanceof MembershipAction.PullList pull) {
            pullList(pull.target());
        } else if (action instanceof MembershipAction.Join) {
            Vm self = decisions.self().vm();
            seeds.stream()
                    .filter(seed -> !seed.host().equals(self.host()) || seed.peerPort() != self.peerPort())
                    .forEach(seed -> pull(new Vm("", 0, "", seed.host(), seed.peerPort(), 0, false)));
        } else if (action instanceof MembershipAction.SendLeave leave) {
            exchange.send(leave.target(), new LeaveMessage(decisions.self().vm().incarnation()));
        } else if (action instanceof MembershipAction.Publish) {
            source.publish(decisions.view());
        } else if (action instanceof MembershipAction.RecordChange change) {
            logger.atInfo().log("[membership] %s", change.text());
            timeline.record(Timeline.Event.of("membership", change.text()));
        }
    }

    private void probe(Vm target) {
        long startedNanos = time.nanos();
        Ping ping = new Ping(decisions.self(), decisions.gossipFor(target.id()));
        request(target, ping, PROBE_TIMEOUT, reply -> {
            boolean isReached = reply instanceof PeerReply.Received received && onReply(received.message());
            if (!isReached) {
                on(new ProbeFailed(target, startedNanos));
            }
        });
    }

    private void probeIndirectly(MembershipAction.IndirectProbe indirect) {
        long startedNanos = time.nanos();
        Vm target = indirect.target();
        request(indirect.witness(), new ProbeRequest(target), INDIRECT_PROBE_TIMEOUT, reply -> {
            if (reply instanceof PeerReply.Received received && received.message() instanceof ProbeResult result) {
                on(new IndirectProbeEnded(target, indirect.witness().id(), result.isReached(), startedNanos));
            }
        });
    }

    private void pull(Vm target) {
        request(target, new JoinRequest(decisions.self()), JOIN_TIMEOUT, reply -> {
            if (reply instanceof PeerReply.Received received) {
                onReply(received.message());
            }
        });
    }

    private void pullList(Vm target) {
        request(target, new ListRequest(), JOIN_TIMEOUT, reply -> {
            if (reply instanceof PeerReply.Received received && received.message() instanceof ListReply list) {
                on(new MembershipEvent.ListReceived(list.revision(), list.vms()));
            }
        });
    }

    private boolean onReply(PeerMessage message) {
        if (!(message instanceof PingReply reply)) {
            return false;
        }
        on(new ProbeAnswered(reply.sender(), reply.updates(), reply.digest(), reply.listRevision()));
        return true;
    }

    private void request(Vm target, PeerMessage message, Duration timeout, Consumer<PeerReply> listener) {
        var unused = exchange.request(target, message, timeout)
                .thenAccept(reply -> control.execute(() -> listener.accept(reply)));
    }

    private void onPing(String sender, Ping ping, Replies replies) {
        control.execute(() -> {
            if (!isFrom(sender, ping.sender())) {
                return;
            }
            onContact(ping.sender(), ping.updates());
            replies.reply(pingReply(decisions.gossipFor(sender)));
        });
    }

    private void onJoinRequest(String sender, JoinRequest request, Replies replies) {
        control.execute(() -> {
            if (!isFrom(sender, request.sender())) {
                return;
            }
            onContact(request.sender(), List.of());
            replies.reply(pingReply(decisions.allUpdates()));
        });
    }

    private PingReply pingReply(List<MemberUpdate> updates) {
        return new PingReply(decisions.self(), updates, decisions.digest(), decisions.listRevision());
    }

    /** Applies updates only if their sender is a live VM; a new VM must reply to a probe first. */
    private void onContact(MemberUpdate sender, List<MemberUpdate> updates) {
        boolean isLive = decisions.isLive(sender.vm());
        if (isLive) {
            on(new UpdatesReceived(sender.vm().id(), updates));
        }
        on(new Introduced(sender));
    }

    private void onProbeRequest(String sender, ProbeRequest request, Replies replies) {
        control.execute(() -> {
            FleetView view = source.current();
            if (view.vm(sender).isPresent()) {
                probeAsWitness(request.target(), replies);
            }
        });
    }

    /** Probes the target on behalf of another VM; a failure does not change the status of the target on this VM. */
    private void probeAsWitness(Vm target, Replies replies) {
        Ping ping = new Ping(decisions.self(), decisions.gossipFor(target.id()));
        request(
                target,
                ping,
                PROBE_TIMEOUT,
                reply -> replies.reply(
                        new ProbeResult(reply instanceof PeerReply.Received received && onReply(received.message()))));
    }

    private static boolean isFrom(String sender, MemberUpdate update) {
        return sender.equals(update.vm().id());
    }
}
