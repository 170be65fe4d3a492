package io.coppershelf.mesh;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.Catalog;
import io.coppershelf.catalog.CatalogChange;
import io.coppershelf.catalog.CatalogReader;
import io.coppershelf.catalog.CatalogRevision;
import io.coppershelf.catalog.FleetConfiguration;
import io.coppershelf.catalog.ServerList;
import io.coppershelf.catalog.ServersInForce;
import io.coppershelf.dispatch.FleetPosition;
import io.coppershelf.eventlog.EventLog;
import io.coppershelf.eventlog.Fields;
import io.coppershelf.eventlog.LoggedTask;
import io.coppershelf.proxy.ControlState;
import io.coppershelf.proxy.FleetReports;
import io.coppershelf.quota.TokenSource;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The control state of this VM: catalog, observations of servers and membership. Only the control thread modifies it;
 * values that the traffic thread reads are published through volatile fields.
 */
public final class FleetState implements ControlState {
    private static final long TICK_MILLIS = 50;
    /** Number of ticks between two gossip messages about the membership. */
    private static final int TICKS_PER_GOSSIP = 8;

    private final EventLoop loop;
    private final FleetObservations observations;
    private final Membership membership;
    private final boolean needsTenants;
    private final PlatformReadSchedule schedule;
    private final PlatformReadings readings;
    private final MeshMetrics metrics;
    private final EventLog log;
    private final StateChangeLog changeLog;
    private final FleetMessenger messenger;
    private final MembershipExchange exchange;
    private final ServerReporting reporting;
    private final Random random;
    private Optional<QuotaExchange> quota = Optional.empty();
    private final ServersInForce servers = new ServersInForce();
    private final SnapshotSource startSnapshots;
    private final ConfigurationFetcher configurationFetcher;
    private long ticks;
    private volatile Catalog catalog = Catalog.EMPTY;
    private volatile boolean isStopping;

    /**
     * Creates a state with an empty catalog.
     *
     * @param needsTenants whether a snapshot whose configuration has no tenants is incomplete; builds without tenants
     *     leave them out
     */
    public FleetState(
            EventLoop loop,
            CatalogReader reader,
            FleetObservations observations,
            Membership membership,
            Random random,
            boolean needsTenants,
            MeshMetrics metrics,
            EventLog log) {
        this.loop = loop;
        this.observations = observations;
        this.membership = membership;
        this.needsTenants = needsTenants;
        this.random = random;
        schedule = new PlatformReadSchedule(random);
        readings = new PlatformReadings(reader, schedule, servers::registered, new ReadingReceiver(), log);
        this.metrics = metrics;
        this.log = log;
        changeLog = new StateChangeLog(log);
        messenger = new FleetMessenger(loop, membership);
        exchange = new MembershipExchange(membership, messenger);
        CrashReporting crashes =
                new CrashReporting(messenger, observations.crashes(), () -> membership.randomLive(now()), random, log);
        SummaryFetcher summaries = new SummaryFetcher(() -> membership.randomLive(now()), messenger::send);
        reporting = new ServerReporting(
                loop, messenger, observations, crashes, summaries, membership.dataCentre(), changeLog);
        SnapshotSource snapshots =
                new CompleteSnapshots(new SnapshotClient(loop, () -> membership.randomLive(now())), needsTenants);
        startSnapshots = new SingleFetch(snapshots);
        configurationFetcher = new ConfigurationFetcher(
                reader,
                snapshots,
                (millis, action) -> loop.schedule(action, millis, TimeUnit.MILLISECONDS),
                this::configurationVersion,
                configuration -> applyConfiguration(configuration, "announcement"),
                log);
    }

    /** Exchanges tokens of tenants with a usage cap; to be called before the start. */
    public void shareUsageCaps() {
        quota = Optional.of(new QuotaExchange(loop, membership, messenger, exchange, this::catalog, random, metrics));
    }

    /** Starts to read the platform and to exchange messages with peers. */
    public void start(InetSocketAddress address) {
        messenger.use(MeshSocket.open(loop, address, this::handle, log));
        SnapshotServer.listen(loop, address, this::snapshot, log);
        Runnable tick = new LoggedTask("fleet-tick", this::tick, log);
        loop.scheduleWithFixedDelay(tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public Catalog catalog() {
        return catalog;
    }

    @Override
    public boolean isConfigurationCurrent() {
        return configurationFetcher.newestAnnounced() <= configurationVersion();
    }

    @Override
    public boolean isConfigurationSufficient() {
        return configurationFetcher.isSufficient();
    }

    @Override
    public FleetPosition fleetPosition() {
        return exchange.position();
    }

    @Override
    public boolean isStopping() {
        return isStopping;
    }

    /** Returns whether callers can be served. */
    public boolean isReady() {
        return !isStopping && catalog.isServing() && (!needsTenants || isConfigurationSufficient());
    }

    /** Marks this VM as stopping and announces that to the peers. */
    public void announceStop() {
        isStopping = true;
        loop.execute(() -> exchange.leave(now()));
    }

    @Override
    public void serverLeaving(BackendServer server) {
        loop.execute(() -> {
            if (applyLeaving(server.key(), "own request")) {
                messenger.sendToAll(new MeshMessage.ServerLeaving(server.key()), now());
            }
        });
    }

    @Override
    public Optional<InetSocketAddress> relay(Set<InetSocketAddress> excluded) {
        return exchange.relay(excluded);
    }

    @Override
    public void serversReachable(boolean isReachable) {
        loop.execute(() -> exchange.announceReachable(isReachable, now()));
    }

    @Override
    public FleetReports reports() {
        return reporting;
    }

    @Override
    public Optional<TokenSource> tokens() {
        return quota.map(source -> source);
    }

    private void tick() {
        long now = now();
        quota.ifPresent(QuotaExchange::tick);
        metrics.recordTick(now, TimeUnit.MILLISECONDS.toNanos(TICK_MILLIS));
        if (schedule.isOverdue(now)) {
            servers.recordOutage(now);
        }
        if (servers.expire(now)) {
            publishServers("expiry");
        }
        ticks++;
        reporting.sendDue(catalog.servers());
        if (ticks % TICKS_PER_GOSSIP == 1) {
            observations.load().expire(now);
            exchange.gossip(now);
            reporting.gossip(membership.ageNanos(now), now);
        }
        readings.poll(messenger.rank(now), membership.ageNanos(now), now);
    }

    private void handle(InetSocketAddress sender, MeshMessage message) {
        membership.recordContact(sender, now());
        quota.ifPresent(tokens -> tokens.handle(sender, message));
        if (message instanceof MeshMessage.Unknown) {
            metrics.recordIgnored();
        } else if (message instanceof MeshMessage.Members members) {
            exchange.apply(sender, members, now());
        } else if (message instanceof MeshMessage.ServerLeaving leaving) {
            applyLeaving(leaving.serverKey(), sender.toString());
        } else if (message instanceof MeshMessage.CatalogUpdate update) {
            metrics.recordUpdate(applyUpdate(update));
        } else {
            reporting.apply(sender, message);
        }
    }

    private MeshMetrics.UpdateOutcome applyUpdate(MeshMessage.CatalogUpdate update) {
        configurationFetcher.announced(update.configurationVersion());
        CatalogRevision known = servers.registered().revision();
        CatalogChange change = update.change();
        if (update.revision().era() > known.era()) {
            // The store was restored, so revisions of the former era can't be continued.
            readings.requireComplete();
        }
        if (readings.needsComplete()) {
            return MeshMetrics.UpdateOutcome.INCOMPLETE;
        }
        if (!change.follows(known)) {
            return MeshMetrics.UpdateOutcome.GAP;
        }
        boolean isNew = update.revision().isAfter(known);
        if (isNew) {
            publish(change, "peer");
        }
        schedule.markCurrent(now() - TimeUnit.MILLISECONDS.toNanos(update.ageMillis()));
        return isNew ? MeshMetrics.UpdateOutcome.APPLIED : MeshMetrics.UpdateOutcome.CONFIRMED;
    }

    private void publish(CatalogChange change, String source) {
        servers.apply(change, now());
        change.configuration().ifPresent(configuration -> applyConfiguration(configuration, source));
        publishServers(source);
    }

    private void publishServers(String source) {
        Catalog before = catalog;
        catalog = before.with(servers.inForce(now()));
        changeLog.serversChanged(before.servers(), catalog.servers(), source);
        observations.retain(catalog.servers());
    }

    private void applyConfiguration(FleetConfiguration configuration, String source) {
        Catalog before = catalog;
        catalog = before.with(configuration);
        changeLog.configurationChanged(before, catalog, source);
        if (before.configuration().isEmpty()) {
            configurationFetcher.started();
        }
    }

    /** Takes a server out of use that announced that it leaves; returns whether that was unknown. */
    private boolean applyLeaving(String serverKey, String source) {
        boolean isNew = servers.recordLeaving(serverKey, now());
        if (isNew) {
            log.important("server-leaving", Fields.of("server", serverKey, "source", source));
            publishServers(source);
        }
        return isNew;
    }

    /** Fetches a snapshot from another VM after a complete reading of the platform has failed. */
    private void fetchSnapshot() {
        startSnapshots.fetch(this::applySnapshot, reason -> log.routine("peer-not-read", Fields.of("reason", reason)));
    }

    private void applySnapshot(Snapshot snapshot) {
        servers.recordLeaving(snapshot.leaving(), now());
        CatalogRevision known = servers.registered().revision();
        if (readings.needsComplete() && !known.isAfter(snapshot.content().revision())) {
            readings.receivedComplete();
            // Recorded first, so that no key is accepted that a newer configuration withdraws.
            configurationFetcher.record(snapshot.announcedConfiguration());
            publish(snapshot.content(), "peer");
            configurationFetcher.announced(snapshot.announcedConfiguration());
        }
    }

    private Optional<Snapshot> snapshot() {
        return catalog.isServing()
                ? Optional.of(new Snapshot(
                        configurationFetcher.newestAnnounced(),
                        CatalogChange.complete(servers.registered(), catalog.configuration()),
                        servers.leaving()))
                : Optional.empty();
    }

    private long configurationVersion() {
        return catalog.configuration().map(FleetConfiguration::version).orElse(0L);
    }

    private static long now() {
        return System.nanoTime();
    }

    /** Applies the results of readings of the platform. */
    private final class ReadingReceiver implements PlatformReadings.Receiver {
        @Override
        public void read(CatalogChange change, ServerList requested) {
            changeLog.platformRead(change.revision());
            if (catalog.configuration().isEmpty() && change.revision().isOfRestoredStore()) {
                configurationFetcher.requireAnnouncement();
            }
            ServerList before = servers.registered();
            if (change.follows(before.revision()) && !before.revision().isAfter(change.revision())) {
                publish(change, "platform");
            }
            schedule.markCurrent(now());
            sendUpdate(change, requested);
        }

        @Override
        public void notRead(String reason) {
            changeLog.platformLost(reason);
            if (readings.needsComplete()) {
                fetchSnapshot();
            }
        }

        /** Sends the changes that matter for routing to the fleet, with the confirmation that the rest is unchanged. */
        private void sendUpdate(CatalogChange change, ServerList requested) {
            if (change.isComplete()) {
                return;
            }
            MeshMessage.CatalogUpdate update = MeshMessage.CatalogUpdate.of(requested, change, configurationVersion());
            messenger.sendToAll(update, now());
        }
    }
}
