package io.coppershelf.mesh;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.CatalogChange;
import io.coppershelf.catalog.CatalogReader;
import io.coppershelf.catalog.CatalogRevision;
import io.coppershelf.catalog.FleetConfiguration;
import io.coppershelf.catalog.TenantTable;
import io.coppershelf.eventlog.EventLog;
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
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Scenario: the key "old" of version 7 is replaced by "new" in version 9, and some VMs can't read the platform. */
@Timeout(20)
final class WithdrawnKeyTest {
    /** The bound of the deployments on the time until a configuration is in force on all VMs. */
    private static final long APPLY_NANOS = TimeUnit.MILLISECONDS.toNanos(2500);

    private static final Snapshot OLD = Snapshots.of(Snapshots.withTenant(7, "old"));
    private static final Snapshot NEW = Snapshots.of(Snapshots.withTenant(9, "new"));

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final InetSocketAddress first = FreePorts.address();
    private final InetSocketAddress second = FreePorts.address();
    private final List<String> logLines = Collections.synchronizedList(new ArrayList<>());

    @AfterEach
    void stop() {
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** Guards against a VM that the platform refuses and that never learns of the change. */
    @Test
    void withdrawnKeyIsRefusedAndTheNewOneAcceptedOnAVmThatThePlatformRefuses() {
        FakePlatform platform = new FakePlatform(Optional.of(OLD));
        FleetState serving = start(first, platform);
        Conditions.await(serving::isReady);
        FleetState refused = start(second, new FakePlatform(Optional.empty()));
        Conditions.await(() -> accepts(refused, "old"));
        long published = System.nanoTime();
        platform.snapshot = Optional.of(NEW);
        Conditions.await(() -> accepts(refused, "new") && !accepts(refused, "old"));
        assertThat(System.nanoTime() - published).isAtMost(APPLY_NANOS);
        assertThat(logLines.toString()).contains("keysWithdrawn=1");
        assertThat(logLines.toString()).doesNotContain("old");
        assertThat(logLines.toString()).doesNotContain("new");
    }

    /** Guards against a restarted VM that accepts a withdrawn key, since the VM that it asked is behind too. */
    @Test
    void restartedVmWithAnOldSnapshotAcceptsNoKeyUntilItHasTheAnnouncedConfiguration() throws Exception {
        FakePlatform platform = new FakePlatform(Optional.of(OLD));
        FleetState behind = start(first, platform);
        Conditions.await(behind::isReady);
        announce(9);
        Conditions.await(() -> !behind.isConfigurationCurrent());
        FleetState restarted = start(second, new FakePlatform(Optional.empty()));
        Conditions.await(() -> version(restarted) == 7);
        assertThat(accepts(restarted, "old")).isFalse();
        assertThat(restarted.isReady()).isFalse();
        platform.snapshot = Optional.of(NEW);
        Conditions.await(() -> accepts(restarted, "new"));
        assertThat(accepts(restarted, "old")).isFalse();
        assertThat(restarted.isReady()).isTrue();
    }

    /** Guards against keys that come back with a store that was restored from an older copy. */
    @Test
    void keyOfARestoredStoreIsNotAcceptedAgainNotEvenByAVmThatRestarts() {
        FakePlatform platform = new FakePlatform(Optional.of(NEW));
        FleetState running = start(first, platform);
        Conditions.await(() -> accepts(running, "new"));
        Snapshot restored = restored();
        platform.snapshot = Optional.of(restored);
        Conditions.await(() -> running.catalog().servers().revision().era() == 2);
        assertThat(accepts(running, "old")).isFalse();
        FleetState restarted = start(second, new FakePlatform(Optional.of(restored)));
        Conditions.await(() -> {
            assertThat(accepts(restarted, "old")).isFalse();
            return accepts(restarted, "new");
        });
    }

    /** Guards against an error line for each message of a later build. */
    @Test
    void messageOfAnUnknownTypeIsIgnoredWithoutALogLine() throws IOException {
        FleetState state = start(first, new FakePlatform(Optional.of(OLD)));
        Conditions.await(state::isReady);
        send(new byte[] {4, 100, 1});
        announce(9);
        Conditions.await(() -> !state.isConfigurationCurrent());
        assertThat(logLines.toString()).doesNotContain("mesh-message-unreadable");
    }

    private static Snapshot restored() {
        CatalogChange old = OLD.content();
        CatalogRevision revision = new CatalogRevision(2, 5);
        return new Snapshot(
                7,
                new CatalogChange(CatalogRevision.NONE, revision, old.configuration(), old.changed(), Set.of()),
                Set.of());
    }

    /** Sends an update that announces a version, from a VM that is not known otherwise. */
    private void announce(long version) throws IOException {
        send(MeshCodec.encode(new MeshMessage.CatalogUpdate(
                Catalogs.revision(7), Catalogs.revision(7), version, 0, List.of(), List.of())));
    }

    private void send(byte[] bytes) throws IOException {
        try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress(first.getAddress(), 0))) {
            socket.send(new DatagramPacket(bytes, bytes.length, first));
        }
    }

    private FleetState start(InetSocketAddress address, CatalogReader platform) {
        Random random = new Random(1);
        Membership membership = new Membership(address, "here", 1, List.of(first, second), random, System.nanoTime());
        EventLog log = (importance, event, fields) -> logLines.add(event + " " + fields);
        FleetState state = new FleetState(
                loops.next(),
                platform,
                FleetObservations.create(),
                membership,
                random,
                true,
                new MeshMetrics(new PrometheusRegistry()),
                log);
        state.start(address);
        return state;
    }

    /** Returns whether a request with the key is served, in the order in which the request path reads the state. */
    private static boolean accepts(FleetState state, String key) {
        TenantTable tenants = state.catalog()
                .configuration()
                .flatMap(FleetConfiguration::tenants)
                .orElse(TenantTable.EMPTY);
        return state.isConfigurationSufficient() && tenants.byKey(key).isPresent();
    }

    private static long version(FleetState state) {
        return state.catalog().configuration().map(FleetConfiguration::version).orElse(0L);
    }
}
