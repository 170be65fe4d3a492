package io.coppershelf.proxy;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Iterables;
import io.coppershelf.testing.Conditions;
import io.coppershelf.testing.FakeBackendServer;
import io.coppershelf.testing.FreePorts;
import io.coppershelf.testing.RawCaller;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Scenario: a VM reaches no server, and hands the requests of its callers to another VM, which does. */
@Timeout(30)
final class RelayTest {
    private static final int SERVERS = 6;

    @AutoClose
    private final ProxyFixture cutOff = new ProxyFixture();

    @AutoClose
    private final ProxyFixture other = new ProxyFixture();

    private final List<FakeBackendServer> servers = new ArrayList<>();

    @BeforeEach
    void cutOff() throws IOException {
        cutOff.servePorts(refusingPorts());
        cutOff.state().relays(other.relayAddress());
    }

    @AfterEach
    void stopServers() throws IOException {
        for (FakeBackendServer server : servers) {
            server.close();
        }
    }

    @Test
    void answerOfTheServerReachesTheCallerUnchanged() throws IOException {
        serve(request -> ProxyFixture.answer(request, 201, "whole", "X-Other: y"));
        settle();
        RawCaller.Reply reply = cutOff.call("GET", "/safe/1?x=2");
        assertThat(reply.status()).isEqualTo(201);
        assertThat(reply.body()).isEqualTo("whole");
        assertThat(reply.header("Signature")).isEqualTo("s");
        assertThat(reply.header("X-Other")).isEqualTo("y");
        assertThat(reply.head()).doesNotContain("Relay");
    }

    /** Guards against work that loses its deadline, or gains headers, on its way through another VM. */
    @Test
    void serverReceivesTheRequestWithTheRemainingTime() throws IOException {
        serve(request -> ProxyFixture.answer(request, 200, "whole"));
        settle();
        cutOff.send("POST /once/last HTTP/1.1\nHost: host\nRequest-Id: r1\nDeadline: 1500\nContent-Length: 4\n\nbody");
        FakeBackendServer.Received received = received("/once/last").get(0);
        assertThat(received.body()).isEqualTo("body");
        assertThat(received.headers()).containsEntry("request-id", "r1");
        assertThat(Integer.parseInt(received.headers().get("deadline"))).isAtMost(1500);
        assertThat(received.headers().keySet().toString()).doesNotContain("relay");
    }

    @Test
    void requestThatMustRunOnceReachesOneServerAndALostAnswerIsNotCalledNotRun() throws IOException {
        serve(request -> new byte[0]);
        settle();
        RawCaller.Reply reply = cutOff.call("POST", "/once/lost");
        assertThat(reply.status()).isEqualTo(502);
        assertThat(reply.header("Coppershelf-Outcome")).isEqualTo("unknown");
        assertThat(received("/once/lost")).hasSize(1);
    }

    /** Guards against requests that reach more servers than their route allows, as each VM counts its own. */
    @Test
    void repeatableRequestReachesNoMoreServersThanItsRouteAllows() throws IOException {
        serve(request -> ProxyFixture.answer(request, 500, "no"));
        settle();
        assertThat(cutOff.call("GET", "/safe/failing").status()).isEqualTo(500);
        assertThat(received("/safe/failing")).hasSize(2);
    }

    @Test
    void refusalOfAllServersIsPassedOnAsNotRun() throws IOException {
        serve(request -> ProxyFixture.answer(request, 503, "full", "Not-Run: 1"));
        settle();
        RawCaller.Reply reply = cutOff.call("POST", "/once/refused");
        assertThat(reply.status()).isEqualTo(503);
        assertThat(reply.header("Coppershelf-Outcome")).isEqualTo("not_run");
        assertThat(Double.parseDouble(reply.header("Retry-After"))).isGreaterThan(0.0);
    }

    /** Guards against a request being called possibly run that the other VM could not even read. */
    @Test
    void requestThatTheOtherVmRefusesToReadIsNotRun() throws IOException {
        serve(request -> ProxyFixture.answer(request, 200, "whole"));
        String head = "POST /once/1 HTTP/1.1\nHost: host\nRequest-Id: r1\nContent-Length: 999999\n\n";
        RawCaller.Reply reply = RawCaller.exchange(other.relayAddress(), head);
        assertThat(reply.status()).isEqualTo(413);
        assertThat(reply.header(RelayHeaders.RESULT)).isEqualTo(RelayHeaders.Result.NOT_RUN.name());
    }

    /**
     * Guards against a request that fails since the servers of its service that are left are out of this VM's reach.
     */
    @Test
    void requestOfAServiceThatTheVmReachesOnlyInPartIsServedByAnotherVm() throws IOException {
        serve(request -> ProxyFixture.answer(request, 503, "full", "Not-Run: 1"));
        servers.get(5).close();
        servers.set(5, FakeBackendServer.start(request -> ProxyFixture.answer(request, 200, "whole")));
        other.serve(servers.get(5));
        int[] ports = refusingPorts();
        ports[0] = servers.get(0).port();
        cutOff.servePorts(ports);
        int served = 0;
        for (int i = 0; i < 30; i++) {
            served += cutOff.call("POST", "/once/part").status() == 200 ? 1 : 0;
        }
        assertThat(served).isAtLeast(29);
        Conditions.await(
                () -> !Boolean.FALSE.equals(Iterables.getLast(cutOff.state().reachable(), true)));
    }

    /** Guards against a request that VMs which reach no server hand to each other in a circle. */
    @Test
    void vmsThatAllReachNoServerRefuseAtOnce() throws IOException {
        other.servePorts(refusingPorts());
        other.state().relays(cutOff.relayAddress());
        settle();
        other.call("POST", "/once/settle");
        long startNanos = System.nanoTime();
        RawCaller.Reply reply = cutOff.call("POST", "/once/1");
        assertThat(reply.status()).isEqualTo(503);
        assertThat(reply.header("Coppershelf-Outcome")).isEqualTo("not_run");
        assertThat(Double.parseDouble(reply.header("Retry-After"))).isGreaterThan(0.0);
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                .isLessThan(1000);
    }

    /** Guards against work that goes on although its caller has left. */
    @Test
    void requestOfACallerThatLeavesIsCancelledAtTheServer() throws Exception {
        serve(request -> request.target().equals("/safe/slow")
                ? sleepThenAnswer(request)
                : ProxyFixture.answer(request, 200, "whole"));
        settle();
        try (RawCaller caller = cutOff.connect()) {
            caller.send(ProxyFixture.request("GET", "/safe/slow", 3000));
            Conditions.await(() -> !received("/safe/slow").isEmpty());
        }
        Conditions.await(() -> other.server().requestsInFlight() == 0);
    }

    /** Guards against a VM that tells the others that servers are unhealthy which it does not reach itself. */
    @Test
    void vmThatReachesNoServerReportsNoneAsUnhealthy() throws IOException {
        serve(request -> ProxyFixture.answer(request, 200, "whole"));
        settle();
        for (int i = 0; i < 20; i++) {
            assertThat(cutOff.call("POST", "/once/" + i).status()).isEqualTo(200);
        }
        assertThat(cutOff.state().observations()).isEmpty();
        assertThat(cutOff.state().reachable()).containsExactly(false);
    }

    @Test
    void vmSendsRequestsItselfOnceServersAreReachable() throws IOException {
        serve(request -> ProxyFixture.answer(request, 200, "whole"));
        settle();
        cutOff.serve(servers.toArray(new FakeBackendServer[0]));
        Conditions.await(() -> cutOff.state().reachable().size() == 2);
        cutOff.state().relays();
        assertThat(cutOff.call("POST", "/once/back").status()).isEqualTo(200);
    }

    /** Guards against a request that crashes servers being taken for another one when a VM hands it on. */
    @Test
    void requestThatCrashesServersIsQuarantinedAlsoIfItIsHandedOn() throws IOException {
        serve(this::crashUnderPoison);
        settle();
        other.callFrom("127.0.0.9", "GET", "/safe/poison");
        cutOff.callFrom("127.0.0.9", "GET", "/safe/poison");
        assertThat(cutOff.callFrom("127.0.0.9", "GET", "/safe/poison").status()).isEqualTo(503);
        assertThat(received("/safe/poison")).hasSize(3);
    }

    private byte[] crashUnderPoison(FakeBackendServer.Received request) throws IOException {
        if (request.target().equals("/safe/poison")) {
            int index = Integer.parseInt(request.headers().get("target").substring("i-".length()));
            servers.get(index).crash();
            return new byte[0];
        }
        return ProxyFixture.answer(request, 200, "whole");
    }

    private static byte[] sleepThenAnswer(FakeBackendServer.Received request) throws IOException {
        try {
            TimeUnit.SECONDS.sleep(2);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        return ProxyFixture.answer(request, 200, "late");
    }

    private void serve(FakeBackendServer.Script script) throws IOException {
        for (int i = 0; i < SERVERS; i++) {
            servers.add(FakeBackendServer.start(script));
        }
        other.serve(servers.toArray(new FakeBackendServer[0]));
    }

    /** Sends a request, by which the VM learns that it reaches no server. */
    private void settle() throws IOException {
        cutOff.call("POST", "/once/settle");
        Conditions.await(() -> cutOff.state().reachable().contains(false));
    }

    private List<FakeBackendServer.Received> received(String target) {
        return servers.stream()
                .flatMap(server -> server.received().stream())
                .filter(request -> request.target().equals(target))
                .toList();
    }

    private static int[] refusingPorts() {
        return IntStream.range(0, SERVERS)
                .map(i -> FreePorts.address().getPort())
                .toArray();
    }
}
