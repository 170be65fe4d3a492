package io.coppershelf.mesh;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.CatalogChange;
import io.coppershelf.catalog.CatalogReader;
import io.coppershelf.catalog.CatalogRevision;
import io.coppershelf.catalog.FleetConfiguration;
import io.coppershelf.eventlog.EventLog;
import io.coppershelf.poison.RequestIdentity;
import io.coppershelf.testing.Catalogs;
import io.coppershelf.testing.Conditions;
import io.coppershelf.testing.FreePorts;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Scenario: two VMs run on the loopback interface, and the platform refuses the requests of one of them. */
@Timeout(20)
final class FleetStateTest {
    private static final RequestIdentity REQUEST = new RequestIdentity("10.0.0.1", "GET", "host", "/a", new byte[0]);

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final InetSocketAddress first = FreePorts.address();
    private final InetSocketAddress second = FreePorts.address();

    @AfterEach
    void stop() {
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @Test
    void vmThatStartsWhileThePlatformRefusesItServesWhatTheOthersHaveInForce() throws InterruptedException {
        FakePlatform answering = new FakePlatform(Optional.of(Snapshots.of(7)));
        FleetState serving = start(first, answering);
        Conditions.await(serving::isReady);
        FleetState refused = start(second, new FakePlatform(Optional.empty()));
        Conditions.await(refused::isReady);
        assertThat(version(refused)).isEqualTo(7);
        assertThat(refused.catalog().servers().revision()).isEqualTo(Catalogs.revision(7));
    }

    @Test
    void newConfigurationReachesAVmThatThePlatformRefuses() throws InterruptedException {
        FakePlatform answering = new FakePlatform(Optional.of(Snapshots.of(7)));
        FleetState serving = start(first, answering);
        FleetState refused = start(second, new FakePlatform(Optional.empty()));
        Conditions.await(refused::isReady);
        answering.snapshot = Optional.of(Snapshots.of(9));
        Conditions.await(() -> version(serving) == 9);
        Conditions.await(() -> version(refused) == 9);
    }

    @Test
    void serversOfARestoredStoreAreUsedAndTheConfigurationDoesNotGoBack() throws InterruptedException {
        FakePlatform platform = new FakePlatform(Optional.of(Snapshots.of(7)));
        FleetState serving = start(first, platform);
        FleetState follower = start(second, platform);
        Conditions.await(() -> version(serving) == 7 && version(follower) == 7);
        platform.snapshot = Optional.of(Snapshots.restored(5, "b"));
        Conditions.await(() -> hasServer(serving, "b") && hasServer(follower, "b"));
        assertThat(version(serving)).isEqualTo(7);
        assertThat(version(follower)).isEqualTo(7);
    }

    @Test
    void serverThatAnnouncedThatItLeavesIsNotUsedByAnyVmNorByOneThatStartsLater() throws InterruptedException {
        FakePlatform platform = new FakePlatform(Optional.of(Snapshots.of(7)));
        FleetState serving = start(first, platform);
        Conditions.await(serving::isReady);
        BackendServer leaving = serving.catalog().servers().server("a").orElseThrow();
        serving.serverLeaving(leaving);
        Conditions.await(() -> !accepts(serving, "a"));
        FleetState later = start(second, new FakePlatform(Optional.empty()));
        Conditions.await(() -> hasServer(later, "a"));
        assertThat(accepts(later, "a")).isFalse();
    }

    /** Guards against VMs that each keep the limit of a server for themselves. */
    @Test
    void limitThatAServerNamesReachesTheOtherVm() throws InterruptedException {
        FakePlatform platform = new FakePlatform(Optional.of(Snapshots.of(7)));
        FleetObservations observations = FleetObservations.create();
        FleetState told = start(first, platform);
        FleetState other = start(second, platform, observations);
        Conditions.await(() -> told.fleetPosition().size() == 2 && hasServer(other, "a"));
        BackendServer limited = told.catalog().servers().server("a").orElseThrow();
        told.reports().serverLimited(limited, Optional.of(2.5));
        Conditions.await(() -> observations.limits().perSecond(limited.key()).equals(Optional.of(2.5)));
        told.reports().serverLimited(limited, Optional.empty());
        Conditions.await(() -> observations.limits().perSecond(limited.key()).isEmpty());
    }

    /** Guards against a request that crashed servers and is sent on by another VM, or by one that starts later. */
    @Test
    void quarantinedRequestIsKnownToTheOtherVmAndToOneThatStartsLater() throws InterruptedException {
        FleetObservations own = FleetObservations.create();
        FleetObservations other = FleetObservations.create();
        FleetState told = startTwo(own, other);
        for (int server = 1; server <= 3; server++) {
            told.reports().requestCrashed(own.crashes().recordCrash(REQUEST, server, System.nanoTime()));
        }
        Conditions.await(() -> isQuarantined(other));
        FleetObservations later = FleetObservations.create();
        start(FreePorts.address(), new FakePlatform(Optional.of(Snapshots.of(7))), later);
        Conditions.await(() -> isQuarantined(later));
    }

    @Test
    void requestThatSucceededIsClearedOnTheOtherVm() throws InterruptedException {
        FleetObservations own = FleetObservations.create();
        FleetObservations other = FleetObservations.create();
        FleetState told = startTwo(own, other);
        told.reports().requestCrashed(own.crashes().recordCrash(REQUEST, 1, System.nanoTime()));
        Conditions.await(() -> other.crashes().isOnRecord(REQUEST));
        told.reports().requestCleared(REQUEST.fingerprints());
        Conditions.await(() -> !other.crashes().isOnRecord(REQUEST));
    }

    /** Starts two VMs that know each other, and returns the first. */
    private FleetState startTwo(FleetObservations own, FleetObservations other) {
        FakePlatform platform = new FakePlatform(Optional.of(Snapshots.of(7)));
        FleetState started = start(first, platform, own);
        start(second, platform, other);
        Conditions.await(() -> started.fleetPosition().size() == 2);
        return started;
    }

    private static boolean isQuarantined(FleetObservations observations) {
        return observations.crashes().quarantine(REQUEST, System.nanoTime()).isPresent();
    }

    @Test
    void vmsWithoutACatalogAreNotReady() throws InterruptedException {
        FleetState one = start(first, new FakePlatform(Optional.empty()));
        FleetState other = start(second, new FakePlatform(Optional.empty()));
        TimeUnit.SECONDS.sleep(2);
        assertThat(one.isReady()).isFalse();
        assertThat(other.isReady()).isFalse();
    }

    @Test
    void connectionsThatNeverReadDoNotKeepOthersFromASnapshot() throws Exception {
        FleetState serving = start(first, new FakePlatform(Optional.of(Snapshots.of(7))));
        Conditions.await(serving::isReady);
        for (int i = 0; i < 10; i++) {
            Socket idle = new Socket(first.getAddress(), first.getPort());
            idle.setSoTimeout(1);
        }
        FleetState refused = start(second, new FakePlatform(Optional.empty()));
        Conditions.await(refused::isReady);
    }

    /**
     * Guards against a VM that never learns of a change: the reader learns it from another VM while its own reading is
     * under way, and leaves it out of its update, which a VM applies that has not received the other one.
     */
    @Test
    void updateHoldsAllChangesSinceItsFirstRevisionAlsoThoseThatAnotherVmReportedMeanwhile() throws Exception {
        try (DatagramSocket peer = new DatagramSocket(new InetSocketAddress(first.getAddress(), 0))) {
            peer.setSoTimeout(10_000);
            HeldPlatform platform = new HeldPlatform();
            start(first, platform);
            CatalogReader.Listener reading = platform.changes.take();
            BackendServer draining = Catalogs.server("a", "here").withoutAccepting();
            InetSocketAddress peerAddress = (InetSocketAddress) peer.getLocalSocketAddress();
            send(peer, new MeshMessage.Members(List.of(new MemberEntry(peerAddress, "here", 1, 1, false)), false));
            send(peer, update(7, 8, draining));
            TimeUnit.MILLISECONDS.sleep(800);
            reading.readSucceeded(new CatalogChange(
                    Catalogs.revision(7), Catalogs.revision(9), Optional.empty(), List.of(draining), Set.of()));
            assertThat(receiveUpdate(peer).changed()).containsExactly(draining);
        }
    }

    private static MeshMessage.CatalogUpdate update(long since, long revision, BackendServer changed) {
        return new MeshMessage.CatalogUpdate(
                Catalogs.revision(since), Catalogs.revision(revision), 7, 0, List.of(changed), List.of());
    }

    private void send(DatagramSocket peer, MeshMessage message) throws IOException {
        byte[] bytes = MeshCodec.encode(message);
        peer.send(new DatagramPacket(bytes, bytes.length, first));
    }

    private static MeshMessage.CatalogUpdate receiveUpdate(DatagramSocket peer) throws IOException {
        while (true) {
            DatagramPacket packet = new DatagramPacket(new byte[16 * 1024], 16 * 1024);
            peer.receive(packet);
            MeshMessage message = MeshCodec.decode(Arrays.copyOf(packet.getData(), packet.getLength()));
            if (message instanceof MeshMessage.CatalogUpdate update) {
                return update;
            }
        }
    }

    private FleetState start(InetSocketAddress address, CatalogReader platform) {
        return start(address, platform, FleetObservations.create());
    }

    private FleetState start(InetSocketAddress address, CatalogReader platform, FleetObservations observations) {
        Random random = new Random(1);
        Membership membership = new Membership(address, "here", 1, List.of(first, second), random, System.nanoTime());
        FleetState state = new FleetState(
                loops.next(),
                platform,
                observations,
                membership,
                random,
                false,
                new MeshMetrics(new PrometheusRegistry()),
                EventLog.NONE);
        state.start(address);
        return state;
    }

    private static boolean hasServer(FleetState state, String id) {
        return state.catalog().servers().server(id).isPresent();
    }

    private static boolean accepts(FleetState state, String id) {
        return state.catalog()
                .servers()
                .server(id)
                .filter(BackendServer::isAccepting)
                .isPresent();
    }

    private static long version(FleetState state) {
        return state.catalog().configuration().map(FleetConfiguration::version).orElse(0L);
    }

    /** A platform whose readings of changes end when a test says so. */
    private static final class HeldPlatform implements CatalogReader {
        private final BlockingQueue<Listener> changes = new LinkedBlockingQueue<>();

        @Override
        public void readAll(Listener listener) {
            listener.readSucceeded(Snapshots.of(7).content());
        }

        @Override
        public void readChanges(CatalogRevision revision, Duration wait, Listener listener) {
            changes.add(listener);
        }

        @Override
        public void readConfigurationAllowingStale(
                long version, Consumer<FleetConfiguration> onRead, Runnable onFailure) {
            onFailure.run();
        }
    }
}
