package io.coppershelf.mesh;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.Catalog;
import io.coppershelf.catalog.CatalogChange;
import io.coppershelf.catalog.CatalogReader;
import io.coppershelf.catalog.FleetConfiguration;
import io.coppershelf.catalog.RemovalGrace;
import io.coppershelf.catalog.ServerList;
import io.coppershelf.eventlog.EventLog;
import io.coppershelf.eventlog.Fields;
import io.coppershelf.health.estimate.Observation;
import io.coppershelf.proxy.ControlState;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * The control state of this VM: catalog, beliefs and membership. Changed by the control thread alone; what the traffic
 * thread reads is published through volatile fields.
 */
public final class FleetState implements ControlState {
    private static final long TICK_MILLIS = 50;
    /** Every how many ticks a VM tells another one who is there. */
    private static final int TICKS_PER_MEMBERS = 8;
    /** How long the platform waits for a change; a reading that finds none confirms what is known. */
    private static final Duration CHANGE_WAIT = Duration.ofMillis(100);
    /** Age of what is known from which the platform counts as away; no VM was able to read it for several tries. */
    private static final long OUTAGE_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(2000);
    /** How long after it removals may stem from registrations that expired meanwhile. */
    private static final long OUTAGE_EFFECT_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final EventLoop loop;
    private final CatalogReader reader;
    private final FleetObservations evidence;
    private final LoadReporter loadReport = new LoadReporter();
    private final Membership membership;
    private final PlatformReadSchedule schedule;
    private final EventLog log;
    private final StateChangeLog stateLog;
    private final RemovalGrace grace = new RemovalGrace();
    private final SnapshotSource peers;
    private final ConfigurationFetcher configurationFetch;
    private Optional<MeshSocket> socket = Optional.empty();
    private boolean isReading;
    private boolean isAskingPeer;
    private boolean isPlatformLost;
    private boolean needsAll = true;
    private long ticks;
    private ServerList registered = ServerList.EMPTY;
    private long outageNanos;
    private boolean hadOutage;
    private volatile Catalog catalog = Catalog.EMPTY;
    private volatile int fleetSize = Membership.ASSUMED_FLEET;
    private volatile boolean isStopping;

    /** Creates a state that knows nothing. */
    public FleetState(
            EventLoop loop,
            CatalogReader reader,
            FleetObservations evidence,
            Membership membership,
            Random random,
            EventLog log) {
        this.loop = loop;
        this.reader = reader;
        this.evidence = evidence;
        this.membership = membership;
        schedule = new PlatformReadSchedule(random);
        this.log = log;
        stateLog = new StateChangeLog(log);
        peers = new SnapshotClient(loop, () -> membership.randomLive(now()));
        configurationFetch = new ConfigurationFetcher(
                reader,
                peers,
                (millis, action) -> loop.schedule(action, millis, TimeUnit.MILLISECONDS),
                this::configurationRevision,
                this::takeConfiguration,
                log);
    }

    /** Starts to read the platform and to talk to peers. */
    public void start(InetSocketAddress address) {
        socket = Optional.of(MeshSocket.open(loop, address, this::received, log));
        SnapshotServer.listen(loop, address, this::snapshot, log);
        loop.scheduleWithFixedDelay(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public Catalog catalog() {
        return catalog;
    }

    @Override
    public int fleetSize() {
        return fleetSize;
    }

    @Override
    public boolean isStopping() {
        return isStopping;
    }

    /** Returns whether callers can be served. */
    public boolean isReady() {
        return !isStopping && catalog.isServing();
    }

    /** Notes that this VM is going to stop. */
    public void announceStop() {
        isStopping = true;
        loop.execute(() -> {
            membership.leave();
            socket.ifPresent(open -> open.send(membership.live(now()), members(false)));
        });
    }

    @Override
    public void observed(BackendServer server, Observation observation) {
        loop.execute(() -> {
            String key = server.key();
            if (observe(key, observation, "own request")) {
                socket.ifPresent(
                        open -> open.send(membership.live(now()), new MeshMessage.ServerObservation(key, observation)));
            }
        });
    }

    @Override
    public void loadChanged(long serverCode, int inFlight, boolean isBegin) {
        loop.execute(() -> {
            long now = now();
            if (isBegin) {
                evidence.spread().recordRequest(serverCode, now);
            }
            long dueNanos = loadReport.changed(serverCode, inFlight, isBegin, now);
            if (isBegin) {
                loop.schedule(this::tellLoad, Math.max(0, dueNanos - now), TimeUnit.NANOSECONDS);
            }
        });
    }

    private void tellLoad() {
        loadReport.pollDue(now()).ifPresent(load -> socket.ifPresent(open -> open.send(membership.live(now()), load)));
    }

    private void tick() {
        long now = now();
        noteOutage(now);
        if (grace.expire(now)) {
            Catalog before = catalog;
            catalog = before.with(grace.withRetained(registered));
            stateLog.serversChanged(before.servers(), catalog.servers(), "expiry");
        }
        ticks++;
        tellLoad();
        evidence.load().expire(now);
        if (ticks % TICKS_PER_MEMBERS == 1) {
            membership.nextGossipTarget(now).ifPresent(receiver -> send(receiver, members(true)));
            fleetSize = membership.fleetSize(now());
        }
        if (!isReading && schedule.isDue(membership.rank(now), membership.ageNanos(now), now)) {
            read();
        }
    }

    private boolean observe(String serverKey, Observation observation, String source) {
        return evidence.observe(serverKey, observation, source, stateLog, now());
    }

    /** The platform counts as away while nobody has confirmed for some time what is known. */
    private void noteOutage(long nowNanos) {
        if (schedule.ageNanos(nowNanos).orElse(0) > OUTAGE_AGE_NANOS) {
            outageNanos = nowNanos;
            hadOutage = true;
        }
    }

    private boolean isAfterOutage() {
        return hadOutage && now() - outageNanos < OUTAGE_EFFECT_NANOS;
    }

    private void read() {
        isReading = true;
        if (needsAll) {
            reader.readAll(new ReadingListener());
        } else {
            reader.readChanges(registered.revision(), CHANGE_WAIT, new ReadingListener());
        }
    }

    private void received(InetSocketAddress sender, MeshMessage message) {
        membership.recordContact(sender, now());
        if (message instanceof MeshMessage.Members members) {
            boolean hasNew = membership.merge(members.members(), now());
            fleetSize = membership.fleetSize(now());
            if (hasNew || members.wantsReply()) {
                send(sender, new MeshMessage.Members(membership.nextEntries(hasNew, now()), false));
            }
        } else if (message instanceof MeshMessage.ServerObservation outcome) {
            observe(outcome.serverKey(), outcome.observation(), sender.toString());
        } else if (message instanceof MeshMessage.Load load) {
            evidence.recordLoad(sender, load, now());
        } else if (message instanceof MeshMessage.CatalogUpdate news) {
            takeNews(news);
        }
    }

    private void takeNews(MeshMessage.CatalogUpdate news) {
        configurationFetch.announced(news.configurationRevision());
        long known = registered.revision();
        CatalogChange change = news.change();
        if (needsAll || !change.follows(known)) {
            return;
        }
        if (known < news.revision()) {
            publish(change, "peer");
        }
        schedule.markCurrent(now() - TimeUnit.MILLISECONDS.toNanos(news.ageMillis()));
    }

    private void publish(CatalogChange change, String source) {
        Catalog before = catalog;
        ServerList servers = change.applyTo(registered);
        grace.update(registered, servers, isAfterOutage(), now());
        registered = servers;
        Catalog after = before.with(grace.withRetained(servers));
        if (change.configuration().isPresent()) {
            after = after.with(change.configuration().get());
        }
        catalog = after;
        stateLog.serversChanged(before.servers(), after.servers(), source);
        stateLog.configurationChanged(before, after, source);
        evidence.retain(after.servers());
    }

    private void takeConfiguration(FleetConfiguration configuration) {
        Catalog before = catalog;
        catalog = before.with(configuration);
        stateLog.configurationChanged(before, catalog, "announcement");
    }

    /** Asks another VM for everything, after the platform could not be read completely. */
    private void askPeer() {
        if (isAskingPeer) {
            return;
        }
        isAskingPeer = true;
        peers.fetch(this::takeSnapshot, reason -> {
            isAskingPeer = false;
            log.routine("peer-not-read", Fields.of("reason", reason));
        });
    }

    private void takeSnapshot(Snapshot snapshot) {
        isAskingPeer = false;
        if (needsAll && snapshot.content().revision() >= registered.revision()) {
            needsAll = false;
            publish(snapshot.content(), "peer");
            configurationFetch.announced(snapshot.announcedConfiguration());
        }
    }

    private Optional<Snapshot> snapshot() {
        return catalog.isServing()
                ? Optional.of(new Snapshot(
                        configurationFetch.newestAnnounced(),
                        CatalogChange.complete(registered, catalog.configuration())))
                : Optional.empty();
    }

    private long configurationRevision() {
        return catalog.configuration().map(FleetConfiguration::revision).orElse(0L);
    }

    private MeshMessage.Members members(boolean wantsReply) {
        return new MeshMessage.Members(membership.nextEntries(false, now()), wantsReply);
    }

    private void send(InetSocketAddress receiver, MeshMessage message) {
        socket.ifPresent(open -> open.send(receiver, message));
    }

    private static long now() {
        return System.nanoTime();
    }

    /** Takes the result of a reading of the platform. */
    private final class ReadingListener implements CatalogReader.Listener {
        @Override
        public void readSucceeded(CatalogChange change) {
            isReading = false;
            needsAll = false;
            if (isPlatformLost) {
                isPlatformLost = false;
                log.important("platform-regained", Fields.of("revision", change.revision()));
            }
            ServerList before = registered;
            if (change.follows(before.revision()) && change.revision() >= before.revision()) {
                publish(change, "platform");
            }
            schedule.readSucceeded();
            schedule.markCurrent(now());
            tell(before, change);
        }

        @Override
        public void readFailed(CatalogReader.Failure failure, String reason) {
            isReading = false;
            if (failure == CatalogReader.Failure.HISTORY_LOST) {
                needsAll = true;
                log.important("platform-history-lost", Fields.of("reason", reason));
                return;
            }
            if (!isPlatformLost) {
                isPlatformLost = true;
                log.important("platform-lost", Fields.of("reason", reason));
            }
            schedule.readFailed(now());
            if (needsAll) {
                askPeer();
            }
        }

        /** Tells the fleet what matters for routing, and that the rest is unchanged. */
        private void tell(ServerList before, CatalogChange change) {
            if (change.since() == 0) {
                return;
            }
            MeshMessage.CatalogUpdate news = MeshMessage.CatalogUpdate.of(before, change, configurationRevision());
            socket.ifPresent(open -> open.send(membership.live(now()), news));
        }
    }
}
