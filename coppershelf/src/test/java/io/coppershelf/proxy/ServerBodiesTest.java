package io.coppershelf.proxy;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.dispatch.FleetLoad;
import io.coppershelf.dispatch.FleetPosition;
import io.coppershelf.dispatch.IdleServerTracker;
import io.coppershelf.dispatch.ServerChooser;
import io.coppershelf.dispatch.ServerLimits;
import io.coppershelf.health.estimate.HealthEstimates;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the bound on the large bodies at a server with VMs that know the counts of all others. */
final class ServerBodiesTest {
    private static final int VMS = 20;
    private static final int SLOTS = 4;

    private final BackendServer server =
            new BackendServer("s-1", 1, "ledger", new InetSocketAddress("127.0.0.1", 1), "here", SLOTS, true, 0);
    private final List<FleetLoad> loads = new ArrayList<>();
    private final List<ServerBodies> vms = new ArrayList<>();
    private long code;

    /** Guards against uploads of many VMs that exceed the memory of one server. */
    @Test
    void twentyVmsSendOneServerAsManyUploadsAsItHasSlots() {
        startVms(true);
        int sent = 0;
        for (int vm = 0; vm < VMS; vm++) {
            if (isAllowed(vm, 360_000)) {
                vms.get(vm).started(server, true);
                report(vm, 1);
                sent++;
            }
        }
        assertThat(sent).isEqualTo(SLOTS);
        assertThat(vms.get(VMS - 1).pause(request(360_000), List.of(server))).isPresent();
        vms.get(0).ended(server);
        report(0, 0);
        assertThat(isAllowed(VMS - 1, 360_000)).isTrue();
    }

    @Test
    void smallRequestsAreNotBounded() {
        startVms(true);
        report(0, 9);
        assertThat(isAllowed(1, 360_000)).isFalse();
        assertThat(isAllowed(1, 64 * 1024)).isTrue();
    }

    /** Guards against refused uploads at a service whose requests are nearly all small. */
    @Test
    void requestsOfOtherVmsCountByTheShareOfLargeOnes() {
        startVms(true);
        for (int i = 0; i < 200; i++) {
            vms.get(1).started(server, i % 20 == 0);
            if (i % 20 == 0) {
                vms.get(1).ended(server);
            }
        }
        report(0, 20);
        assertThat(isAllowed(1, 360_000)).isTrue();
        report(0, 200);
        assertThat(isAllowed(1, 360_000)).isFalse();
    }

    @Test
    void nothingIsBoundedWithoutAStatedMemory() {
        startVms(false);
        report(0, 9);
        assertThat(isAllowed(1, 360_000)).isTrue();
    }

    /** Guards against a quarantine of uploads that were at a server which crashed for lack of memory. */
    @Test
    void serverThatHadMoreLargeBodiesThanSlotsIsKnownAfterItsCrash() {
        startVms(true);
        vms.get(0).started(server, true);
        assertThat(vms.get(0).hadTooMany(server)).isFalse();
        report(1, SLOTS);
        vms.get(0).ended(server);
        assertThat(vms.get(0).hadTooMany(server)).isTrue();
        report(1, 0);
        vms.get(0).started(server, true);
        vms.get(0).ended(server);
        assertThat(vms.get(0).hadTooMany(server)).isFalse();
    }

    private void startVms(boolean isBounded) {
        for (int i = 0; i < VMS; i++) {
            FleetLoad load = new FleetLoad();
            ServerChooser chooser = new ServerChooser(
                    "here",
                    new HealthEstimates(),
                    load,
                    new IdleServerTracker(),
                    new ServerLimits(),
                    () -> new FleetPosition(0, VMS),
                    new Random(1));
            loads.add(load);
            vms.add(new ServerBodies(chooser, isBounded));
            code = chooser.stats(server).code();
        }
    }

    private void report(int sender, int inFlight) {
        for (int i = 0; i < VMS; i++) {
            if (i != sender) {
                loads.get(i).recordInFlight(sender, code, inFlight, 0);
            }
        }
    }

    private boolean isAllowed(int vm, int bytes) {
        return vms.get(vm).unsuitable(request(bytes), List.of(server), Set.of()).isEmpty();
    }

    private static CallerRequest request(int bytes) {
        return new CallerRequest(
                "10.0.0.1",
                Optional.empty(),
                HttpMethod.POST,
                "/once/1",
                new DefaultHttpHeaders(),
                new byte[bytes],
                0,
                true);
    }
}
