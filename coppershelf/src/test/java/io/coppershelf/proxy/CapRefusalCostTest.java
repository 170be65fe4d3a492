package io.coppershelf.proxy;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.Tenant;
import io.coppershelf.catalog.TenantTable;
import io.coppershelf.catalog.UsageCap;
import io.coppershelf.quota.Refusal;
import io.coppershelf.quota.Token;
import io.coppershelf.quota.TokenSource;
import io.coppershelf.testing.FakeBackendServer;
import io.coppershelf.testing.RawCaller;
import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests what the requests of a tenant above its usage cap cost, over real sockets. */
@Timeout(60)
final class CapRefusalCostTest {
    private static final int CALLERS = 4;
    private static final int SAMPLES = 1000;
    private static final String FREE = "k2";
    private static final String CAPPED = "k1";

    @AutoClose
    private final ProxyFixture proxy = new ProxyFixture();

    private final LongAdder refused = new LongAdder();

    /** Guards against a tenant above its cap that takes connections, slots or retries from the others. */
    @Test
    void excessOfATenantTakesNoConnectionSlotOrRetryAndOthersAreServed() throws IOException, InterruptedException {
        try (FakeBackendServer server = start()) {
            Load alone = measure(false);
            long refusedBefore = refused.sum();
            int receivedBefore = server.workRequests().size();
            Load beside = measure(true);
            assertThat(refused.sum() - refusedBefore).isGreaterThan(100);
            assertThat(server.workRequests()).hasSize(receivedBefore + SAMPLES);
            assertThat(connections(server)).isEqualTo(1);
            assertThat(proxy.server().requestsInFlight()).isEqualTo(0);
            System.out.printf(
                    "CAP-REFUSALS %.0f/s of %d callers, %.0f/s of processor time of the traffic thread;"
                            + " p50 and p99 of others %.2f and %.2f ms, alone %.2f and %.2f ms%n",
                    beside.refusedPerSecond(),
                    CALLERS,
                    beside.refusedPerCpuSecond(),
                    beside.millis(0.5),
                    beside.millis(0.99),
                    alone.millis(0.5),
                    alone.millis(0.99));
        }
    }

    /** Guards against refusals that use up the retry budget: the request of another tenant is retried all the same. */
    @Test
    void requestOfAnotherTenantIsRetriedAfterManyRefusals() throws IOException {
        try (FakeBackendServer failing = FakeBackendServer.start(request -> FakeBackendServer.thenClose(""));
                FakeBackendServer server = answering()) {
            identifyTenants();
            proxy.serve(failing, server);
            try (RawCaller caller = proxy.connect()) {
                for (int i = 0; i < 300; i++) {
                    caller.send(request(CAPPED));
                    assertThat(caller.reply().status()).isEqualTo(429);
                }
            }
            for (int i = 0; failing.workRequests().isEmpty() && i < 50; i++) {
                assertThat(proxy.send(request(FREE)).status()).isEqualTo(200);
            }
            assertThat(failing.workRequests()).isNotEmpty();
        }
    }

    private FakeBackendServer start() throws IOException {
        FakeBackendServer server = answering();
        identifyTenants();
        proxy.serve(server);
        return server;
    }

    private static FakeBackendServer answering() throws IOException {
        return FakeBackendServer.start(request -> ProxyFixture.answer(request, 200, "whole"));
    }

    private void identifyTenants() {
        proxy.tenants(TenantTable.of(Map.of(
                new Tenant("capped", Optional.empty(), Optional.of(new UsageCap(5, 5))), List.of(CAPPED),
                new Tenant("free", Optional.empty(), Optional.empty()), List.of(FREE))));
        proxy.state().use(new NoTokens());
    }

    private static long connections(FakeBackendServer server) {
        return server.received().stream()
                .map(FakeBackendServer.Received::connection)
                .distinct()
                .count();
    }

    /**
     * Sends requests of a tenant without a cap, one after the other, with or without refused ones of another tenant.
     */
    private Load measure(boolean isBeside) throws IOException, InterruptedException {
        AtomicBoolean isStopped = new AtomicBoolean();
        Thread[] callers = new Thread[isBeside ? CALLERS : 0];
        for (int i = 0; i < callers.length; i++) {
            callers[i] = new Thread(() -> exceed(isStopped));
            callers[i].start();
        }
        long refusedBefore = refused.sum();
        long cpuBefore = proxy.trafficCpuNanos();
        long start = System.nanoTime();
        long[] nanos = new long[SAMPLES];
        try (RawCaller caller = proxy.connect()) {
            for (int i = 0; i < SAMPLES; i++) {
                long sent = System.nanoTime();
                caller.send(request(FREE));
                assertThat(caller.reply().status()).isEqualTo(200);
                nanos[i] = System.nanoTime() - sent;
                Thread.sleep(2);
            }
        }
        Load load = new Load(
                nanos, refused.sum() - refusedBefore, System.nanoTime() - start, proxy.trafficCpuNanos() - cpuBefore);
        isStopped.set(true);
        for (Thread caller : callers) {
            caller.join();
        }
        return load;
    }

    private void exceed(AtomicBoolean isStopped) {
        try (RawCaller caller = proxy.connect()) {
            while (!isStopped.get()) {
                caller.send(request(CAPPED));
                assertThat(caller.reply().status()).isEqualTo(429);
                refused.increment();
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String request(String key) {
        return "GET /safe/1 HTTP/1.1\nHost: host\nRequest-Id: r1\nDeadline: 3000\nApi-Key: " + key + "\n\n";
    }

    private record Load(long[] nanos, long refused, long tookNanos, long cpuNanos) {
        Load {
            Arrays.sort(nanos);
        }

        double millis(double quantile) {
            return nanos[(int) (quantile * nanos.length)] / 1e6;
        }

        double refusedPerSecond() {
            return refused * 1e9 / tookNanos;
        }

        double refusedPerCpuSecond() {
            return refused * 1e9 / cpuNanos;
        }
    }

    /** A source that refuses all requests at once, as while a denial is remembered. */
    private static final class NoTokens implements TokenSource {
        @Override
        public void acquire(String tenant, Listener listener) {
            listener.refused(new Refusal(true, Duration.ofSeconds(1), 0, Optional.of(Duration.ZERO)));
        }

        @Override
        public void giveBack(Token token) {}
    }
}
