package io.coppershelf.proxy;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.health.estimate.Observation;
import io.coppershelf.testing.Conditions;
import io.coppershelf.testing.FakeBackendServer;
import io.coppershelf.testing.RawCaller;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests what servers state about themselves in their answers: that they leave, or that they want a pause. */
@Timeout(30)
final class ServerNoticesTest {
    private ProxyFixture proxy;

    @BeforeEach
    void start() {
        proxy = new ProxyFixture();
    }

    @AfterEach
    void stop() {
        proxy.close();
    }

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
}
