package io.coppershelf.proxy;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.health.estimate.Observation;
import io.coppershelf.testing.Conditions;
import io.coppershelf.testing.FakeBackendServer;
import io.coppershelf.testing.RawCaller;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Scenario: a server in trouble sends bytes without end, until the proxy closes the connection. The outcome has to be
 * truthful and come long before the deadline, and memory has to stay bounded.
 */
@Timeout(60)
final class EndlessAnswerTest {
    private static final int DEADLINE_MILLIS = 60_000;
    private static final int CONNECTIONS = 200;
    private static final long SOON_MILLIS = 2000;
    private static final String OK = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n";

    @AutoClose
    private final ProxyFixture proxy = new ProxyFixture();

    @Test
    void headWithoutEndIsLost() throws Exception {
        assertLostSoon(OK, "X-Filler: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n");
    }

    @Test
    void headerLineWithoutEndIsLost() throws Exception {
        assertLostSoon(OK + "X-Filler: ", "y".repeat(1000));
    }

    @Test
    void interimAnswersWithoutEndAreLost() throws Exception {
        assertLostSoon("", "HTTP/1.1 102 Processing\r\n\r\n");
    }

    @Test
    void answersToOtherRequestsWithoutEndAreLost() throws Exception {
        assertLostSoon("", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSignature: s\r\nContent-Length: 2\r\n\r\nno");
    }

    @Test
    void chunksWithoutEndAreLost() throws Exception {
        assertLostSoon(OK + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + "z".repeat(1024) + "\r\n");
    }

    @Test
    void chunkSizeWithoutEndIsLost() throws Exception {
        assertLostSoon(OK + "Transfer-Encoding: chunked\r\n\r\n", "0".repeat(1000));
    }

    @Test
    void trailersWithoutEndAreLost() throws Exception {
        assertLostSoon(OK + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: yyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n");
    }

    @Test
    void bodyWithoutLengthAndEndIsLost() throws Exception {
        assertLostSoon(OK + "Connection: close\r\n\r\n", "z".repeat(4096));
    }

    @Test
    void emptyLinesWithoutEndAreLost() throws Exception {
        assertLostSoon("", "\r\n".repeat(1000));
    }

    /** Guards against an exhausted heap, and against small answers that are refused because of the large ones. */
    @Test
    void twoHundredAnswersWithoutEndDoNotKeepOthersFromBeingServed() throws Exception {
        try (EndlessServer endless = EndlessServer.start(
                        OK + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + "z".repeat(1024) + "\r\n", CONNECTIONS);
                FakeBackendServer sound =
                        FakeBackendServer.start(request -> ProxyFixture.answer(request, 200, "whole"))) {
            proxy.servePorts(endless.port());
            List<RawCaller> callers = new ArrayList<>();
            for (int i = 0; i < CONNECTIONS; i++) {
                RawCaller caller = proxy.connect();
                caller.send(ProxyFixture.request("POST", "/patient/" + i, DEADLINE_MILLIS));
                callers.add(caller);
            }
            endless.awaitRequests();
            proxy.serve(sound);
            for (int i = 0; i < 20; i++) {
                assertThat(proxy.call("GET", "/safe/" + i).status()).isEqualTo(200);
            }
            for (RawCaller caller : callers) {
                int status = caller.reply().status();
                assertThat(status).isAnyOf(502, 503);
                caller.close();
            }
            Conditions.await(() -> endless.openConnections() == 0);
        }
    }

    private void assertLostSoon(String start, String repeated) throws IOException, InterruptedException {
        try (EndlessServer endless = EndlessServer.start(start, repeated, 1)) {
            proxy.servePorts(endless.port());
            long startNanos = System.nanoTime();
            try (RawCaller caller = proxy.connect()) {
                caller.send(ProxyFixture.request("POST", "/patient/1", DEADLINE_MILLIS));
                assertThat(caller.reply().status()).isEqualTo(502);
            }
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                    .isLessThan(SOON_MILLIS);
            assertThat(proxy.state().observations()).containsExactly(Observation.GARBLED);
            Conditions.await(() -> endless.openConnections() == 0);
        }
    }
}
