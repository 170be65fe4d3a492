package io.coppershelf.proxy;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.testing.FakeBackendServer;
import io.coppershelf.testing.RawCaller;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Scenario: a request crashes the process of every server that executes it, and its caller keeps retrying it. */
@Timeout(30)
final class PoisonRequestTest {
    private static final int SERVERS = 12;
    private static final String POISON = "/safe/poison";
    private static final String POISON_BODY = "poison";

    @AutoClose
    private final ProxyFixture proxy = new ProxyFixture();

    private final List<FakeBackendServer> servers = new ArrayList<>();
    private final AtomicInteger crashes = new AtomicInteger();

    @BeforeEach
    void startServers() throws IOException {
        for (int i = 0; i < SERVERS; i++) {
            servers.add(FakeBackendServer.start(this::run));
        }
        proxy.serve(servers.toArray(new FakeBackendServer[0]));
    }

    @AfterEach
    void stopServers() throws IOException {
        for (FakeBackendServer server : servers) {
            server.close();
        }
    }

    /** Guards against a request that crashes one server after the other, each time that its caller sends it again. */
    @Test
    void requestUnderWhichThreeServersCrashedIsSentToNoFurtherServer() throws IOException {
        for (int i = 0; i < SERVERS; i++) {
            proxy.call("GET", POISON);
        }
        assertThat(crashes.get()).isEqualTo(3);
    }

    @Test
    void quarantinedRequestIsRefusedAtOnceAsNotRun() throws IOException {
        for (int i = 0; i < 4; i++) {
            proxy.call("GET", POISON);
        }
        RawCaller.Reply refused = proxy.call("GET", POISON);
        assertThat(refused.status()).isEqualTo(503);
        assertThat(refused.header("Coppershelf-Error")).isEqualTo("request-quarantined");
        assertThat(Double.parseDouble(refused.header("Retry-After"))).isGreaterThan(1.0);
    }

    /** Guards against a request whose servers crashed being reported as not run. */
    @Test
    void requestUnderWhichAServerCrashedIsNotReportedAsNotRun() throws IOException {
        assertThat(proxy.call("POST", "/once/poison").status()).isEqualTo(502);
    }

    /** Guards against a quarantine of all requests of a path. */
    @Test
    void requestsOfOtherCallersAndWithOtherBodiesAreServed() throws IOException {
        for (int i = 0; i < 6; i++) {
            proxy.call("GET", POISON);
            post(POISON_BODY);
        }
        assertThat(crashes.get()).isEqualTo(6);
        for (int i = 0; i < 10; i++) {
            assertThat(post("other body").status()).isEqualTo(200);
            assertThat(proxy.call("GET", "/safe/" + i).status()).isEqualTo(200);
            assertThat(proxy.callFrom("127.0.0.9", "GET", "/safe/" + i).status())
                    .isEqualTo(200);
        }
        proxy.callFrom("127.0.0.9", "GET", POISON);
        assertThat(crashes.get()).isGreaterThan(6);
    }

    /** Guards against a quarantine by servers that drop requests, but run on. */
    @Test
    void requestThatServersOnlyDropIsNotQuarantined() throws IOException {
        for (int i = 0; i < 10; i++) {
            assertThat(proxy.call("POST", "/once/drop").status()).isEqualTo(502);
        }
    }

    private RawCaller.Reply post(String body) throws IOException {
        String head = "POST /once/shared HTTP/1.1\nHost: host\nRequest-Id: r1\nDeadline: 3000\nContent-Length: ";
        return proxy.send(head + body.length() + "\n\n" + body);
    }

    private byte[] run(FakeBackendServer.Received request) throws IOException {
        if (request.target().equals("/once/drop")) {
            return new byte[0];
        }
        if (!request.target().endsWith("/poison") && !request.body().equals(POISON_BODY)) {
            return ProxyFixture.answer(request, 200, "whole");
        }
        int index = Integer.parseInt(request.headers().get("target").substring("i-".length()));
        crashes.incrementAndGet();
        servers.get(index).crash();
        return new byte[0];
    }
}
