package io.coppershelf.proxy;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.testing.FakeBackendServer;
import io.coppershelf.testing.RawCaller;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the refusal of requests of a service that is short of capacity, over real sockets. */
@Timeout(30)
final class AdmissionTest {
    private static final int REQUESTS = 40;

    /** Guards against requests that wait in the queue of a server until their deadline. */
    @Test
    void requestsBeyondTheCapacityAreRefusedAtOnceAsNotRun() throws Exception {
        try (ProxyFixture proxy = ProxyFixture.prioritized()) {
            List<RawCaller.Reply> refusals = refusals(proxy);
            assertThat(refusals.size()).isAtLeast(REQUESTS / 4);
            for (RawCaller.Reply refusal : refusals) {
                assertThat(refusal.status()).isEqualTo(503);
                assertThat(refusal.header("Coppershelf-Error")).isEqualTo("overloaded");
                assertThat(refusal.header("Coppershelf-Outcome")).isEqualTo("not_run");
                assertThat(Double.parseDouble(refusal.header("Retry-After"))).isGreaterThan(0.1);
            }
        }
    }

    /** Guards against control in deployments that do not ask for it. */
    @Test
    void allRequestsAreSentWhereAllHaveTheSamePriority() throws Exception {
        try (ProxyFixture proxy = new ProxyFixture()) {
            assertThat(refusals(proxy)).isEmpty();
        }
    }

    /** Sends more requests than the server has slots; returns the answers other than those of the server. */
    private static List<RawCaller.Reply> refusals(ProxyFixture proxy) throws IOException, InterruptedException {
        CountDownLatch isReleased = new CountDownLatch(1);
        List<RawCaller> callers = new ArrayList<>();
        try (FakeBackendServer server = FakeBackendServer.start(request -> {
            await(isReleased);
            return ProxyFixture.answer(request, 200, "late");
        })) {
            proxy.serve(server);
            for (int i = 0; i < REQUESTS; i++) {
                RawCaller caller = proxy.connect();
                callers.add(caller);
                caller.send(ProxyFixture.request("GET", "/patient/" + i, 20_000));
                // The load is estimated once in 10 ms.
                Thread.sleep(11);
            }
            isReleased.countDown();
            List<RawCaller.Reply> replies = new ArrayList<>();
            for (RawCaller caller : callers) {
                replies.add(caller.reply());
            }
            return replies.stream().filter(reply -> reply.status() != 200).toList();
        } finally {
            for (RawCaller caller : callers) {
                caller.close();
            }
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
