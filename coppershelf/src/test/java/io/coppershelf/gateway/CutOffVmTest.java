package io.coppershelf.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.testing.FakeBackendServer;
import io.coppershelf.testing.FreePorts;
import io.coppershelf.testing.RawCaller;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Scenario: two VMs on the loopback interface, of which one reaches no server, while its callers and the other do. */
@Timeout(30)
final class CutOffVmTest {
    private static final int SERVERS = 6;
    private static final int REQUESTS = 60;

    private final List<FakeBackendServer> servers = new ArrayList<>();
    private final InetSocketAddress meshAddress = FreePorts.address();

    @BeforeEach
    void startServers() throws IOException {
        for (int i = 0; i < SERVERS; i++) {
            servers.add(FakeBackendServer.start(LoopbackGateway::answer));
        }
    }

    @AfterEach
    void stopServers() throws IOException {
        for (FakeBackendServer server : servers) {
            server.close();
        }
    }

    /** Guards against callers of a VM that is cut off from the servers being served far worse than those of others. */
    @Test
    void callersOfAVmThatReachesNoServerAreServedByAnotherOne() throws IOException {
        start(meshAddress, servers.stream().map(FakeBackendServer::port).toList());
        List<Integer> refusedPorts = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            refusedPorts.add(FreePorts.address().getPort());
        }
        InetSocketAddress cutOff = start(FreePorts.address(), refusedPorts);
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            served += post(cutOff, i).status() == 200 ? 1 : 0;
        }
        assertThat(served).isAtLeast(2 * REQUESTS / 3);
    }

    /** Guards against callers of a VM that reaches a third of the servers being served worse than those of others. */
    @Test
    void callersOfAVmThatReachesAPartOfTheServersAreServed() throws IOException {
        List<Integer> ports = servers.stream().map(FakeBackendServer::port).toList();
        start(meshAddress, ports);
        List<Integer> reachedInPart = new ArrayList<>(ports);
        for (int i = 2; i < SERVERS; i++) {
            reachedInPart.set(i, FreePorts.address().getPort());
        }
        InetSocketAddress vm = start(FreePorts.address(), reachedInPart);
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            served += post(vm, i).status() == 200 ? 1 : 0;
        }
        assertThat(served).isAtLeast((int) Math.ceil(0.95 * REQUESTS));
    }

    private static RawCaller.Reply post(InetSocketAddress vm, int number) throws IOException {
        return RawCaller.exchange(
                vm, "POST /once/" + number + " HTTP/1.1\nHost: host\nRequest-Id: r" + number + "\nDeadline: 3000\n\n");
    }

    /** Starts a VM that finds the servers at these ports; returns the address for callers. */
    private InetSocketAddress start(InetSocketAddress mesh, List<Integer> serverPorts) {
        return LoopbackGateway.start(mesh, meshAddress, serverPorts, Duration.ofMillis(2500))
                .callers();
    }
}
