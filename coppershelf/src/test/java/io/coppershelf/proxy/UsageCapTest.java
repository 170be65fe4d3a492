package io.coppershelf.proxy;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.Tenant;
import io.coppershelf.catalog.TenantTable;
import io.coppershelf.catalog.UsageCap;
import io.coppershelf.quota.Refusal;
import io.coppershelf.quota.Token;
import io.coppershelf.quota.TokenSource;
import io.coppershelf.testing.Conditions;
import io.coppershelf.testing.FakeBackendServer;
import io.coppershelf.testing.FreePorts;
import io.coppershelf.testing.RawCaller;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that requests of a tenant with a usage cap wait for a token, over real sockets. */
@Timeout(30)
final class UsageCapTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    @AutoClose
    private final ProxyFixture proxy = new ProxyFixture();

    private final HeldTokens tokens = new HeldTokens();

    @BeforeEach
    void putCapsInForce() {
        proxy.tenants(TenantTable.of(Map.of(
                new Tenant("capped", Optional.empty(), Optional.of(new UsageCap(5, 5))), List.of("k1"),
                new Tenant("free", Optional.empty(), Optional.empty()), List.of("k2"))));
        proxy.state().use(tokens);
    }

    @Test
    void requestIsSentOnceItHasAToken() throws IOException {
        try (FakeBackendServer server = answering();
                RawCaller caller = proxy.connect()) {
            proxy.serve(server);
            caller.send(request("k1"));
            tokens.await(1);
            assertThat(server.received()).isEmpty();
            assertThat(proxy.server().requestsInFlight()).isEqualTo(1);
            tokens.listeners.get(0).admitted(tokens.token(SECOND));
            assertThat(caller.reply().status()).isEqualTo(200);
            assertThat(tokens.returned).isEmpty();
            assertThat(proxy.server().requestsInFlight()).isEqualTo(0);
        }
    }

    /** Guards against a pause of the VM between the grant and the send. */
    @Test
    void requestWithAnExpiredTokenRequestsAnother() throws IOException {
        try (FakeBackendServer server = answering();
                RawCaller caller = proxy.connect()) {
            proxy.serve(server);
            caller.send(request("k1"));
            tokens.await(1);
            tokens.listeners.get(0).admitted(tokens.token(-1));
            tokens.await(2);
            assertThat(server.received()).isEmpty();
            assertThat(tokens.returned).hasSize(1);
        }
    }

    @Test
    void refusalsNameTheTimeUntilTokensAreAvailable() throws IOException {
        try (FakeBackendServer server = answering();
                RawCaller caller = proxy.connect()) {
            proxy.serve(server);
            caller.send(request("k1"));
            tokens.await(1);
            tokens.listeners
                    .get(0)
                    .refused(new Refusal(true, Duration.ofMillis(1250), 2, Optional.of(Duration.ofMillis(40))));
            RawCaller.Reply overCap = caller.reply();
            assertThat(overCap.status()).isEqualTo(429);
            assertThat(overCap.header("Retry-After")).isEqualTo("1.25");
            String line = proxy.logLines().get(proxy.logLines().size() - 1);
            assertThat(line).contains("tenant=capped, capPerSecond=5.0, capBurst=5.0, tokens=2");
            assertThat(line).contains("shareAgeMs=40");
            assertThat(line).doesNotContain("k1");
            caller.send(request("k1"));
            tokens.await(2);
            tokens.listeners.get(1).refused(new Refusal(false, Duration.ofMillis(1500), 0, Optional.empty()));
            assertThat(caller.reply().status()).isEqualTo(503);
            assertThat(server.received()).isEmpty();
            assertThat(proxy.server().requestsInFlight()).isEqualTo(0);
        }
    }

    @Test
    void requestThatIsRefusedAsNotRunReturnsItsToken() throws IOException {
        try (RawCaller caller = proxy.connect()) {
            proxy.servePorts();
            caller.send(request("k1"));
            tokens.await(1);
            tokens.listeners.get(0).admitted(tokens.token(SECOND));
            assertThat(caller.reply().header("Coppershelf-Outcome")).isEqualTo("not_run");
            assertThat(tokens.returned).hasSize(1);
        }
    }

    @Test
    void callerThatLeavesEndsTheWait() throws IOException, InterruptedException {
        try (FakeBackendServer server = answering()) {
            proxy.serve(server);
            RawCaller caller = proxy.connect();
            caller.send(request("k1"));
            tokens.await(1);
            caller.close();
            Conditions.await(() -> proxy.server().requestsInFlight() == 0);
            tokens.listeners.get(0).admitted(tokens.token(SECOND));
            Conditions.await(() -> tokens.returned.size() == 1);
            assertThat(server.received()).isEmpty();
        }
    }

    @Test
    void requestsWithoutACapAndRequestsOfOtherVmsNeedNoToken() throws IOException {
        try (FakeBackendServer server = answering()) {
            proxy.serve(server);
            assertThat(proxy.send(request("k2")).status()).isEqualTo(200);
            assertThat(RawCaller.exchange(proxy.relayAddress(), request("k1")).status())
                    .isEqualTo(200);
            assertThat(tokens.listeners).isEmpty();
        }
    }

    private static FakeBackendServer answering() throws IOException {
        return FakeBackendServer.start(request -> ProxyFixture.answer(request, 200, "whole"));
    }

    private static String request(String key) {
        return "GET /safe/1 HTTP/1.1\nHost: host\nRequest-Id: r1\nDeadline: 3000\nApi-Key: " + key + "\n\n";
    }

    /** Tokens that a test grants. */
    private static final class HeldTokens implements TokenSource {
        private final List<Listener> listeners = new CopyOnWriteArrayList<>();
        private final List<Token> returned = new CopyOnWriteArrayList<>();
        private final InetSocketAddress granter = FreePorts.address();

        @Override
        public void acquire(String tenant, Listener listener) {
            assertThat(tenant).isEqualTo("capped");
            listeners.add(listener);
        }

        @Override
        public void giveBack(Token token) {
            returned.add(token);
        }

        void await(int requests) {
            Conditions.await(() -> listeners.size() >= requests);
        }

        Token token(long validNanos) {
            long now = System.nanoTime();
            return new Token("capped", granter, now, now + validNanos);
        }
    }
}
