package io.coppershelf.ticket.internal.spread;

import com.google.common.flogger.FluentLogger;
import io.coppershelf.component.ControlThread;
import io.coppershelf.component.TimeSource;
import io.coppershelf.membership.FleetView;
import io.coppershelf.membership.Vm;
import io.coppershelf.operator.Timeline;
import io.coppershelf.outcome.CoppershelfException;
import io.coppershelf.peer.PeerExchange;
import io.coppershelf.peer.PeerExchange.Replies;
import io.coppershelf.peer.PeerMessage;
import io.coppershelf.peer.PeerReply;
import io.coppershelf.platform.Platform;
import io.coppershelf.platform.Platform.PublishedTickets;
import io.coppershelf.ticket.ObjectVersion;
import io.coppershelf.ticket.Ticket;
import io.coppershelf.ticket.internal.spread.SpreadEvent.Summary;
import io.coppershelf.ticket.internal.spread.SpreadMessages.Announcement;
import io.coppershelf.ticket.internal.spread.SpreadMessages.AnnouncementReply;
import io.coppershelf.ticket.internal.spread.SpreadMessages.BucketDigest;
import io.coppershelf.ticket.internal.spread.SpreadMessages.BucketsReply;
import io.coppershelf.ticket.internal.spread.SpreadMessages.BucketsRequest;
import io.coppershelf.ticket.internal.spread.SpreadMessages.PullReply;
import io.coppershelf.ticket.internal.spread.SpreadMessages.PullRequest;
import io.coppershelf.ticket.internal.spread.SpreadMessages.RepairReply;
import io.coppershelf.ticket.internal.spread.SpreadMessages.RepairRequest;
import io.coppershelf.ticket.internal.spread.SpreadMessages.TicketExtract;
import io.coppershelf.ticket.internal.spread.SpreadMessages.VersionsReply;
import io.coppershelf.ticket.internal.spread.SpreadMessages.VersionsRequest;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.function.Function;

/** Executes the actions of {@link TicketSpread} on the control thread; documents are parsed on other threads. */
public final class SpreadDriver {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration JOIN_DURATION = Duration.ofSeconds(3);
    private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration LONG_REPLY_TIMEOUT = Duration.ofSeconds(5);
    private static final int MAX_TIMELINE_EVENTS_PER_PUBLISH = 20;

    private final ControlThread control;
    private final TimeSource time;
    private final FleetView.Source fleet;
    private final PeerExchange exchange;
    private final Optional<Platform> platform;
    private final Timeline timeline;
    private final ConfigurationHolder holder;
    private final TicketValidator validator;
    private final ConflictAlarm conflictAlarm;
    private final TicketSpread spread;
    private volatile boolean isReady;

    /** Creates a driver that publishes to the holder. */
    public SpreadDriver(
            ConfigurationHolder holder,
            ControlThread control,
            TimeSource time,
            FleetView.Source fleet,
            PeerExchange exchange,
            Optional<Platform> platform,
            Timeline timeline,
            PrometheusRegistry metrics) {
        this.holder = holder;
        this.control = control;
        this.time = time;
        this.fleet = fleet;
        this.exchange = exchange;
        this.platform = platform;
        this.timeline = timeline;
        validator = new TicketValidator(timeline, metrics);
        conflictAlarm = new ConflictAlarm(timeline, metrics);
        FleetView view = fleet.current();
        long seed = view.self().id().hashCode() ^ view.self().incarnation();
        spread = new TicketSpread(view, JOIN_DURATION.toNanos(), seed, time.nanos());
    }

    /** Registers the messages and starts to read the platform and to repair from peers. */
    public void start() {
        exchange.register(SpreadMessages.ANNOUNCEMENT_REPLY);
        exchange.register(SpreadMessages.PULL_REPLY);
        exchange.register(SpreadMessages.REPAIR_REPLY);
        exchange.register(SpreadMessages.BUCKETS_REPLY);
        exchange.register(SpreadMessages.VERSIONS_REPLY);
        exchange.register(SpreadMessages.ANNOUNCEMENT, this::handleAnnouncement);
        exchange.register(
                SpreadMessages.PULL_REQUEST,
                (sender, request, replies) ->
                        control.execute(() -> replies.reply(new PullReply(spread.document(request.key())))));
        exchange.register(SpreadMessages.REPAIR_REQUEST, this::handleRepairRequest);
        exchange.register(SpreadMessages.BUCKETS_REQUEST, this::handleBucketsRequest);
        exchange.register(
                SpreadMessages.VERSIONS_REQUEST,
                (sender, request, replies) -> control.execute(() -> replies.reply(
                        new VersionsReply(TicketExtracts.of(validBuckets(request.buckets()), spread::versions)))));
        fleet.onChange(() -> handle(new SpreadEvent.FleetChanged(fleet.current())));
        control.every(Duration.ofMillis(TicketSpread.TICK_MILLIS), () -> handle(new SpreadEvent.Tick()));
    }

    /** Returns whether this VM has a configuration and may serve; safe to call from any thread. */
    public boolean isReady() {
        return isReady;
    }

    private void handle(SpreadEvent event) {
        spread.handle(event, time.nanos()).forEach(this::perform);
    }

    private void perform(SpreadAction action) {
        if (action instanceof SpreadAction.ReadPlatform read) {
            readPlatform(read);
        } else if (action instanceof SpreadAction.Announce announce) {
            announce(announce.target(), announce.key());
        } else if (action instanceof SpreadAction.Pull pull) {
            pull(pull.target(), pull.key());
        } else if (action instanceof SpreadAction.RequestRepair repair) {
            requestRepair(repair.target());
        } else if (action instanceof SpreadAction.RequestBuckets buckets) {
            requestBuckets(buckets.target(), buckets.groups());
        } else if (action instanceof SpreadAction.RequestVersions versions) {
            requestVersions(versions.target(), versions.buckets());
        } else if (action instanceof SpreadAction.Publish publish) {
            publish(publish.numbers());
        } else if (action instanceof SpreadAction.AlarmConflict conflict) {
            conflictAlarm.raise(conflict.number());
        } else if (action instanceof SpreadAction.Ready ready) {
            isReady = true;
            recordEvent("Ready: " + ready.reason() + ".");
        }
    }

    private void readPlatform(SpreadAction.ReadPlatform read) {
        if (platform.isEmpty()) {
            handle(new SpreadEvent.PlatformReadFailed());
            return;
        }
        var unused = platform.get()
                .tickets(read.position(), read.watchTime())
                .handle((published, failure) -> failure == null
                        ? toPlatformRead(read.position(), published)
                        : new SpreadEvent.PlatformReadFailed())
                .thenAccept(event -> control.execute(() -> handle(event)));
    }

    private SpreadEvent toPlatformRead(long position, PublishedTickets published) {
        List<Ticket> tickets = validator.parseFromPlatform(published.documents());
        return new SpreadEvent.PlatformRead(position, published.position(), tickets);
    }

    private void publish(SortedSet<Long> numbers) {
        holder.publish(spread.configuration());
        int skipped = Math.max(0, numbers.size() - MAX_TIMELINE_EVENTS_PER_PUBLISH);
        numbers.stream().skip(skipped).forEach(number -> {
            String text = "Ticket " + number + " is in force.";
            logger.atInfo().log("[ticket] %s", text);
            timeline.record(Timeline.Event.of("ticket", text).ofTicket(number));
        });
    }

    private void announce(Vm target, TicketKey key) {
        request(target, new Announcement(key), REPLY_TIMEOUT, reply -> {
            if (reply.orElse(null) instanceof AnnouncementReply announcementReply) {
                return new SpreadEvent.AnnouncementAcknowledged(target.id(), key, announcementReply.wasKnown());
            }
            return new SpreadEvent.AnnouncementFailed(target.id(), key);
        });
    }

    private void pull(Vm target, TicketKey key) {
        request(target, new PullRequest(key), LONG_REPLY_TIMEOUT, reply -> {
            Optional<byte[]> document =
                    reply.orElse(null) instanceof PullReply pullReply ? pullReply.document() : Optional.empty();
            Optional<Ticket> ticket = document.flatMap(bytes -> validator.parseFromPeer(target.id(), key, bytes));
            return ticket.<SpreadEvent>map(pulled -> new SpreadEvent.Pulled(target.id(), pulled))
                    .orElseGet(() -> new SpreadEvent.PullFailed(key));
        });
    }

    private void requestRepair(Vm target) {
        request(target, new RepairRequest(spread.summary(time.nanos())), REPLY_TIMEOUT, reply -> {
            if (reply.orElse(null) instanceof RepairReply repairReply) {
                return new SpreadEvent.RepairReplied(target.id(), repairReply.summary(), repairReply.groupDigests());
            }
            return new SpreadEvent.RepairFailed(target.id());
        });
    }

    private void requestBuckets(Vm target, List<Integer> groups) {
        request(target, new BucketsRequest(groups), REPLY_TIMEOUT, reply -> {
            if (!(reply.orElse(null) instanceof BucketsReply bucketsReply)) {
                return new SpreadEvent.RepairFailed(target.id());
            }
            TreeMap<Integer, Long> digests = new TreeMap<>();
            bucketsReply.digests().forEach(bucket -> digests.put(bucket.bucket(), bucket.digest()));
            return new SpreadEvent.BucketsReceived(target.id(), digests);
        });
    }

    private void requestVersions(Vm target, List<Integer> buckets) {
        request(target, new VersionsRequest(buckets), LONG_REPLY_TIMEOUT, reply -> {
            if (!(reply.orElse(null) instanceof VersionsReply versionsReply)) {
                return new SpreadEvent.RepairFailed(target.id());
            }
            try {
                List<ObjectVersion> versions = new ArrayList<>();
                for (TicketExtract extract : versionsReply.extracts()) {
                    versions.addAll(TicketExtracts.versions(extract));
                }
                return new SpreadEvent.VersionsReceived(target.id(), versions);
            } catch (CoppershelfException e) {
                validator.recordPeerRefusal(target.id(), e);
                return new SpreadEvent.RepairFailed(target.id());
            }
        });
    }

    /** Sends a request. The reply is read on a traffic thread and handled as an event on the control thread. */
    private void request(
            Vm target, PeerMessage message, Duration timeout, Function<Optional<PeerMessage>, SpreadEvent> toEvent) {
        var unused = exchange.request(target, message, timeout)
                .thenApply(reply -> reply instanceof PeerReply.Received received
                        ? Optional.of(received.message())
                        : Optional.<PeerMessage>empty())
                .thenApply(toEvent)
                .thenAccept(event -> control.execute(() -> handle(event)));
    }

    private void handleAnnouncement(String sender, Announcement announcement, Replies replies) {
        control.execute(() -> {
            replies.reply(new AnnouncementReply(spread.hasSeen(announcement.key())));
            handle(new SpreadEvent.AnnouncementReceived(sender, announcement.key()));
        });
    }

    private void handleRepairRequest(String sender, RepairRequest request, Replies replies) {
        control.execute(() -> {
            Summary local = spread.summary(time.nanos());
            boolean isEqual = local.digest() == request.summary().digest();
            List<Long> groups = isEqual ? List.of() : BucketTree.groupDigests(spread.bucketDigests());
            replies.reply(new RepairReply(local, groups));
            handle(new SpreadEvent.RepairRequested(sender, request.summary()));
        });
    }

    private void handleBucketsRequest(String sender, BucketsRequest request, Replies replies) {
        control.execute(() -> {
            long[] digests = spread.bucketDigests();
            List<BucketDigest> chosen = request.groups().stream()
                    .filter(group -> group >= 0 && group < BucketTree.GROUPS)
                    .distinct()
                    .flatMap(group -> BucketTree.bucketsOf(group).stream())
                    .map(bucket -> new BucketDigest(bucket, digests[bucket]))
                    .toList();
            replies.reply(new BucketsReply(chosen));
        });
    }

    private List<Integer> validBuckets(List<Integer> buckets) {
        int count = spread.bucketDigests().length;
        return buckets.stream()
                .filter(bucket -> bucket >= 0 && bucket < count)
                .distinct()
                .toList();
    }

    private void recordEvent(String text) {
        logger.atInfo().log("[ticket] %s", text);
        timeline.record(Timeline.Event.of("ticket", text));
    }
}
