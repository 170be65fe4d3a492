package io.coppershelf.proxy;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.Tenant;
import io.coppershelf.catalog.TenantTable;
import io.coppershelf.testing.Conditions;
import io.coppershelf.testing.FakeBackendServer;
import io.coppershelf.testing.FreePorts;
import io.coppershelf.testing.RawCaller;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Scenario: callers identify themselves with API keys, over real sockets. */
@Timeout(30)
final class TenantIdentificationTest {
    private static final String KEY = "s3cret-Key";
    private static final String LONG_KEY = "x".repeat(4096);
    private static final TenantTable TENANTS = TenantTable.of(Map.of(
            tenant("acme"), List.of(KEY, LONG_KEY, "shared"),
            tenant("other"), List.of("shared"),
            tenant("none"), List.of("")));

    @AutoClose
    private final ProxyFixture proxy = new ProxyFixture();

    @AutoClose
    private final ProxyFixture relaying = new ProxyFixture();

    private FakeBackendServer server;

    @BeforeEach
    void serve() throws IOException {
        server = FakeBackendServer.start(
                request -> ProxyFixture.answer(request, request.target().equals("/safe/failing") ? 500 : 200, "x"));
        proxy.serveTenants(TENANTS, server.port(), server.port());
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
    }

    /** Guards against keys and stated tenants that reach a server, in any spelling of the headers. */
    @Test
    void serverReceivesTheTenantOfTheKeyAndNeitherTheKeyNorTheStatedTenant() throws IOException {
        for (String stated : List.of(
                "",
                "Customer: forged\n",
                "cUSTOMER: forged\n",
                "Customer: forged\nCustomer: forged2\n",
                "Connection: Customer\nCustomer: forged\n",
                "Connection: customer, api-key\nCustomer: forged\n")) {
            assertThat(call("/once/1", "aPI-kEY: " + KEY + "\n" + stated).status())
                    .isEqualTo(200);
        }
        assertThat(server.received()).hasSize(6);
        for (FakeBackendServer.Received received : server.received()) {
            assertThat(received.headers()).containsEntry("customer", "acme");
            assertThat(received.headers().toString()).doesNotContain(KEY);
        }
    }

    /** Guards against callers that are served without a valid key, and keys that refusals repeat. */
    @Test
    void requestsWithoutExactlyOneValidKeyAreRefusedAndDoNotRun() throws IOException {
        for (String headers : List.of(
                "",
                "Customer: acme\n",
                "Api-Key:\n",
                "Api-Key:   \n",
                "Api-Key: wrong-secret\n",
                "Api-Key: " + KEY.toLowerCase(Locale.ROOT) + "\n",
                "Api-Key: " + KEY + "x\n",
                "Api-Key: " + KEY + ", " + KEY + "\n",
                "Api-Key: " + KEY + "\nApi-Key: " + KEY + "\n",
                "Api-Key: " + KEY + "\napi-key: wrong-secret\n",
                "Api-Key: shared\n")) {
            RawCaller.Reply reply = call("/once/1", headers);
            assertThat(reply.status()).isEqualTo(401);
            assertThat(reply.header("Coppershelf-Error")).isEqualTo("unknown-api-key");
            assertThat(reply.header("Coppershelf-Outcome")).isEqualTo("not_run");
            assertNoKey(reply.head() + reply.body());
        }
        assertThat(server.received()).isEmpty();
        assertThat(proxy.logLines()).hasSize(11);
        assertNoKey(proxy.logLines().toString());
    }

    /**
     * Guards against a key that an operator can't tell from others in the log, and against more than 8 digits of it.
     */
    @Test
    void logLineHoldsTheDigestOfAnInvalidKey() throws IOException {
        call("/once/1", "Api-Key: abc\n");
        call("/once/1", "");
        assertThat(proxy.logLines().get(0)).endsWith(", keyDigest=ba7816bf}");
        assertThat(proxy.logLines().get(1)).doesNotContain("keyDigest");
    }

    /** Guards against a limit on keys below that of the head. Blanks around a header's value are not part of it. */
    @Test
    void keyOfFourKilobytesAndKeyWithBlanksAroundTheValueAreAccepted() throws IOException {
        assertThat(call("/once/1", "Api-Key: " + LONG_KEY + "\n").status()).isEqualTo(200);
        assertThat(call("/once/1", "Api-Key: " + LONG_KEY + "x\n").status()).isEqualTo(401);
        assertThat(call("/once/1", "Api-Key: \t " + KEY + "  \n").status()).isEqualTo(200);
    }

    /** Guards against public routes that need a key, and against their requests lacking a tenant that is known. */
    @Test
    void publicRouteNeedsNoKeyAndAKnownKeyIdentifiesTheTenant() throws IOException {
        assertThat(call("/public/1", "Customer: forged\n").status()).isEqualTo(200);
        assertThat(call("/public/2", "Api-Key: wrong-secret\n").status()).isEqualTo(200);
        assertThat(call("/public/3", "Api-Key: " + KEY + "\n").status()).isEqualTo(200);
        assertThat(tenants()).containsExactly("", "", "acme").inOrder();
        assertThat(server.received().toString()).doesNotContain("secret");
    }

    /** Guards against a refusal of a key that another VM already accepts. */
    @Test
    void unknownKeyIsRefusedForNowWhileANewerConfigurationIsKnown() throws IOException {
        proxy.state().announceNewerConfiguration();
        RawCaller.Reply reply = call("/once/1", "Api-Key: new-secret\n");
        assertThat(reply.status()).isEqualTo(503);
        assertThat(Double.parseDouble(reply.header("Retry-After"))).isGreaterThan(0.0);
        assertNoKey(reply.head() + reply.body() + proxy.logLines());
        assertThat(call("/once/1", "Api-Key: " + KEY + "\n").status()).isEqualTo(200);
        assertThat(call("/public/1", "").status()).isEqualTo(200);
    }

    /** Guards against a restarted VM that accepts withdrawn keys of the old configuration that it was given. */
    @Test
    void noKeyIsAcceptedWhileTheConfigurationIsNotSufficient() throws IOException {
        proxy.state().requireNewerConfiguration();
        assertThat(call("/once/1", "Api-Key: " + KEY + "\n").status()).isEqualTo(503);
        assertThat(call("/public/1", "Api-Key: " + KEY + "\n").status()).isEqualTo(200);
        assertThat(tenants()).containsExactly("");
    }

    /** Guards against keys that are looked up once for each connection. */
    @Test
    void withdrawnKeyIsRefusedOnAConnectionThatStaysOpen() throws IOException {
        try (RawCaller caller = proxy.connect()) {
            caller.send(request("/once/1", "Api-Key: " + KEY + "\n"));
            assertThat(caller.reply().status()).isEqualTo(200);
            proxy.serveTenants(TenantTable.of(Map.of(tenant("acme"), List.of("new"))), server.port());
            caller.send(request("/once/1", "Api-Key: " + KEY + "\n") + request("/once/1", "Api-Key: new\n"));
            assertThat(caller.reply().status()).isEqualTo(401);
            assertThat(caller.reply().status()).isEqualTo(200);
        }
    }

    /** Guards against keys in retries and in the log lines of failures. */
    @Test
    void retryHoldsTheTenantAndNoKey() throws IOException {
        call("/safe/failing", "Api-Key: " + KEY + "\n");
        assertThat(tenants()).containsExactly("acme", "acme");
        assertNoKey(server.received() + proxy.logLines().toString());
    }

    /** Guards against keys that travel between VMs, and tenants that get lost or are forged on the way. */
    @Test
    void requestThatIsHandedToAnotherVmHoldsTheTenantAndNoKey() throws IOException {
        int refusing = FreePorts.address().getPort();
        relaying.serveTenants(TENANTS, refusing, refusing);
        relaying.state().relays(proxy.relayAddress());
        relaying.send(request("/once/settle", "Api-Key: " + KEY + "\n"));
        Conditions.await(() -> relaying.state().reachable().contains(false));
        int before = server.received().size();
        String forged = "Connection: Customer\nCustomer: forged\n";
        RawCaller.Reply reply = relaying.send(request("/once/1", "Api-Key: " + KEY + "\n" + forged));
        assertThat(reply.status()).isEqualTo(200);
        assertThat(tenants().subList(before, tenants().size())).containsExactly("acme");
        assertThat(relaying.send(request("/once/1", "Customer: acme\n")).status())
                .isEqualTo(401);
        assertNoKey(server.received() + proxy.logLines().toString() + relaying.logLines());
    }

    /** Guards against a tenant that a caller states to a VM without tenants in its configuration. */
    @Test
    void relayedRequestWithAKeyIsIdentifiedByTheKey() throws IOException {
        String forged = request("/once/1", "Api-Key: " + KEY + "\nCustomer: forged\n");
        assertThat(RawCaller.exchange(proxy.relayAddress(), forged).status()).isEqualTo(200);
        assertThat(tenants()).containsExactly("acme");
    }

    /** Guards against a VM that refuses what another one has identified by a newer configuration. */
    @Test
    void relayedRequestOfATenantThatThisVmDoesNotKnowIsServed() throws IOException {
        String relayed = request("/once/1", "Customer: newcomer\n");
        assertThat(RawCaller.exchange(proxy.relayAddress(), relayed).status()).isEqualTo(200);
        assertThat(tenants()).containsExactly("newcomer");
    }

    /** Guards against changed bytes where a deployment has no tenants. */
    @Test
    void withoutTenantsTheHeadersReachTheServerAsTheyAre() throws IOException {
        proxy.serve(server);
        assertThat(call("/once/1", "Api-Key: k\nCustomer: c\n").status()).isEqualTo(200);
        assertThat(server.received().get(0).headers()).containsAtLeast("api-key", "k", "customer", "c");
    }

    private List<String> tenants() {
        return server.received().stream()
                .map(received -> received.headers().getOrDefault("customer", ""))
                .toList();
    }

    private static void assertNoKey(String text) {
        assertThat(text.toLowerCase(Locale.ROOT)).doesNotContain("s3cret");
        assertThat(text).doesNotContain("-secret");
        assertThat(text).doesNotContain("shared");
    }

    private RawCaller.Reply call(String path, String headers) throws IOException {
        return proxy.send(request(path, headers));
    }

    private static String request(String path, String headers) {
        return "GET " + path + " HTTP/1.1\nHost: host\nRequest-Id: r1\nDeadline: 3000\n" + headers + "\n";
    }

    private static Tenant tenant(String name) {
        return new Tenant(name, Optional.empty(), Optional.empty());
    }
}
