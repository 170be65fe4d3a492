package io.coppershelf.proxy;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.health.estimate.Observation;
import io.coppershelf.testing.Conditions;
import io.coppershelf.testing.FakeBackendServer;
import io.coppershelf.testing.RawCaller;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests what servers state about themselves in their answers: that they leave, or that they want a pause. */
@Timeout(30)
final class ServerNoticesTest {
    @AutoClose
    private final ProxyFixture proxy = new ProxyFixture();

    @Test
    void announcementToLeaveIsPassedOnAndTheAnswerDelivered() throws IOException, InterruptedException {
        try (FakeBackendServer server =
                FakeBackendServer.start(request -> ProxyFixture.answer(request, 200, "whole", "Leaving: 1"))) {
            proxy.serve(server);
            assertThat(proxy.call("GET", "/safe/1").body()).isEqualTo("whole");
            Conditions.await(() -> proxy.state().leaving().contains("i-0"));
        }
    }

    @Test
    void announcementToLeaveInARefusalIsPassedOn() throws IOException, InterruptedException {
        try (FakeBackendServer server = FakeBackendServer.start(
                request -> ProxyFixture.answer(request, 503, "full", "Not-Run: 1", "Leaving: 1"))) {
            proxy.serve(server);
            assertThat(proxy.call("POST", "/once/1").status()).isEqualTo(503);
            Conditions.await(() -> proxy.state().leaving().contains("i-0"));
        }
    }

    @Test
    void serverThatAsksForAPauseGetsNothingForThatTime() throws IOException, InterruptedException {
        try (FakeBackendServer server = FakeBackendServer.start(
                request -> ProxyFixture.answer(request, 503, "full", "Not-Run: 1", "Retry-After: 1"))) {
            proxy.serve(server);
            assertThat(proxy.call("POST", "/once/1").status()).isEqualTo(503);
            RawCaller.Reply refused = proxy.call("GET", "/safe/2");
            assertThat(refused.status()).isEqualTo(503);
            assertThat(Double.parseDouble(refused.header("Retry-After"))).isGreaterThan(0.5);
            assertThat(server.received()).hasSize(1);
            TimeUnit.MILLISECONDS.sleep(1100);
            assertThat(proxy.call("GET", "/safe/3").status()).isEqualTo(503);
            assertThat(server.received()).hasSize(2);
        }
    }

    @Test
    void requestForAPauseIsNoEvidenceOfAnUnhealthyServer() throws IOException {
        try (FakeBackendServer server = FakeBackendServer.start(
                request -> ProxyFixture.answer(request, 503, "full", "Not-Run: 1", "Retry-After: 1"))) {
            proxy.serve(server);
            proxy.call("POST", "/once/1");
            assertThat(proxy.state().observations()).doesNotContain(Observation.SHED);
        }
    }

    @Test
    void otherServersServeWhileOnePauses() throws IOException {
        try (FakeBackendServer pausing = FakeBackendServer.start(
                        request -> ProxyFixture.answer(request, 503, "full", "Not-Run: 1", "Retry-After: 30"));
                FakeBackendServer sound =
                        FakeBackendServer.start(request -> ProxyFixture.answer(request, 200, "whole"))) {
            proxy.serve(pausing, sound);
            for (int i = 0; i < 10; i++) {
                assertThat(proxy.call("POST", "/once/" + i).status()).isEqualTo(200);
            }
            assertThat(pausing.received().size()).isAtMost(1);
        }
    }

    /** Guards against a server that gets far more requests than the limit that it names. */
    @Test
    void serverThatNamesALimitGetsNoMoreThanThat() throws IOException {
        try (FakeBackendServer limited =
                        FakeBackendServer.start(request -> ProxyFixture.answer(request, 200, "whole", "Limit: 1"));
                FakeBackendServer other =
                        FakeBackendServer.start(request -> ProxyFixture.answer(request, 200, "whole"))) {
            proxy.serve(limited, other);
            long startNanos = System.nanoTime();
            for (int i = 0; i < 60; i++) {
                assertThat(proxy.call("POST", "/once/" + i).status()).isEqualTo(200);
            }
            long seconds = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startNanos) + 1;
            assertThat((long) limited.received().size()).isAtMost(1 + seconds);
        }
    }

    @Test
    void requestsAreRefusedAtOnceWithATimeToRetryWhileAllServersAreAtTheirLimit() throws IOException {
        try (FakeBackendServer limited =
                FakeBackendServer.start(request -> ProxyFixture.answer(request, 200, "whole", "Limit: 0.5"))) {
            proxy.serve(limited);
            assertThat(proxy.call("POST", "/once/1").status()).isEqualTo(200);
            long startNanos = System.nanoTime();
            RawCaller.Reply refused = proxy.call("POST", "/once/2");
            assertThat(refused.status()).isEqualTo(503);
            assertThat(Double.parseDouble(refused.header("Retry-After"))).isGreaterThan(1.0);
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                    .isLessThan(1000);
            assertThat(limited.received()).hasSize(1);
        }
    }

    @Test
    void limitEndsWithAnAnswerThatNamesNone() throws IOException, InterruptedException {
        AtomicBoolean isLimited = new AtomicBoolean(true);
        try (FakeBackendServer server = FakeBackendServer.start(
                request -> ProxyFixture.answer(request, 200, "whole", isLimited.get() ? "Limit: 2" : "Other: 1"))) {
            proxy.serve(server);
            proxy.call("POST", "/once/1");
            isLimited.set(false);
            TimeUnit.MILLISECONDS.sleep(500);
            for (int i = 0; i < 10; i++) {
                assertThat(proxy.call("POST", "/once/" + i).status()).isEqualTo(200);
            }
            assertThat(proxy.state().limits())
                    .containsExactly(Optional.of(2.0), Optional.empty())
                    .inOrder();
        }
    }

    /** Guards against a limit that ends with a refusal from the server's queue, which states nothing. */
    @Test
    void limitDoesNotEndWithARefusalThatNamesNone() throws IOException {
        AtomicBoolean isFirst = new AtomicBoolean(true);
        try (FakeBackendServer server = FakeBackendServer.start(request -> isFirst.getAndSet(false)
                ? ProxyFixture.answer(request, 200, "whole", "Limit: 1000")
                : request.rawAnswer(503, "full", "Not-Run: 1", "Content-Length: 4"))) {
            proxy.serve(server);
            proxy.call("POST", "/once/1");
            proxy.call("POST", "/once/2");
            assertThat(proxy.state().limits()).containsExactly(Optional.of(1000.0));
        }
    }

    @Test
    void unreadableLimitIsIgnored() throws IOException {
        try (FakeBackendServer server =
                FakeBackendServer.start(request -> ProxyFixture.answer(request, 200, "whole", "Limit: few"))) {
            proxy.serve(server);
            for (int i = 0; i < 5; i++) {
                assertThat(proxy.call("POST", "/once/" + i).status()).isEqualTo(200);
            }
            assertThat(proxy.state().limits()).isEmpty();
        }
    }
}
