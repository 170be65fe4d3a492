package io.coppershelf.proxy;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.health.estimate.Observation;
import io.coppershelf.testing.FakeBackendServer;
import io.coppershelf.testing.RawCaller;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests the handling of requests and answers over real sockets, with servers and callers that violate the protocol or
 * fail.
 */
@Timeout(30)
final class TrafficServerTest {
    @AutoClose
    private final ProxyFixture proxy = new ProxyFixture();

    @Test
    void answerOfTheServerIsForwardedWithItsStatusBodyAndSignature() throws IOException {
        try (FakeBackendServer server =
                FakeBackendServer.start(request -> ProxyFixture.answer(request, 201, "whole", "X-Other: y"))) {
            proxy.serve(server);
            RawCaller.Reply reply = proxy.call("GET", "/safe/1");
            assertThat(reply.status()).isEqualTo(201);
            assertThat(reply.body()).isEqualTo("whole");
            assertThat(reply.header("Signature")).isEqualTo("s");
            assertThat(reply.header("X-Other")).isEqualTo("y");
        }
    }

    @Test
    void serverReceivesTheIdTheTargetAndTheRemainingTime() throws IOException {
        try (FakeBackendServer server = answering(200)) {
            proxy.serve(server);
            proxy.call("GET", "/safe/1?x=2");
            FakeBackendServer.Received received = server.received().get(0);
            assertThat(received.target()).isEqualTo("/safe/1?x=2");
            assertThat(received.headers()).containsEntry("request-id", "r1");
            assertThat(received.headers()).containsEntry("target", "i-0");
            assertThat(Integer.parseInt(received.headers().get("deadline"))).isAtMost(2500);
        }
    }

    @Test
    void chunkedBodyReachesTheServerComplete() throws IOException {
        try (FakeBackendServer server = answering(200);
                RawCaller caller = proxy.connect()) {
            proxy.serve(server);
            String head = "POST /once/1 HTTP/1.1\nHost: host\nRequest-Id: r1\nTransfer-Encoding: chunked\n\n";
            caller.send(head);
            caller.send("3\nabc\n2\nde\n0\n\n");
            assertThat(caller.reply().status()).isEqualTo(200);
            assertThat(server.received().get(0).body()).isEqualTo("abcde");
        }
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws IOException {
        AtomicInteger number = new AtomicInteger();
        try (FakeBackendServer server = FakeBackendServer.start(
                        request -> ProxyFixture.answer(request, 200, "body" + number.incrementAndGet()));
                RawCaller caller = proxy.connect()) {
            proxy.serve(server);
            caller.send(ProxyFixture.request("GET", "/safe/1", 3000) + ProxyFixture.request("GET", "/safe/2", 3000));
            assertThat(caller.reply().body()).isEqualTo("body1");
            assertThat(caller.reply().body()).isEqualTo("body2");
        }
    }

    @Test
    void bytesAfterAnAnswerAreDiscarded() throws IOException {
        try (FakeBackendServer server = FakeBackendServer.start(request -> {
            String first = text(ProxyFixture.answer(request, 200, request.target()));
            String extra = text(ProxyFixture.answer(request, 200, "extra"));
            return (first + extra).getBytes(StandardCharsets.UTF_8);
        })) {
            proxy.serve(server);
            assertThat(proxy.call("GET", "/safe/1").body()).isEqualTo("/safe/1");
            assertThat(proxy.call("GET", "/safe/2").body()).isEqualTo("/safe/2");
        }
    }

    @Test
    void answerToAnotherRequestIsSkippedAndTheOwnOneDelivered() throws IOException {
        try (FakeBackendServer server = FakeBackendServer.start(request -> {
            String foreign =
                    text(request.rawAnswer(200, "no", "Request-Id: other", "Signature: s", "Content-Length: 2"));
            return (foreign + text(ProxyFixture.answer(request, 200, "own"))).getBytes(StandardCharsets.UTF_8);
        })) {
            proxy.serve(server);
            assertThat(proxy.call("POST", "/once/1").body()).isEqualTo("own");
        }
    }

    @Test
    void truncatedAnswerIsNotForwardedAndTheRequestNotRetried() throws IOException {
        try (FakeBackendServer server = FakeBackendServer.start(request -> FakeBackendServer.thenClose(
                text(request.rawAnswer(200, "part", "Request-Id: r1", "Signature: s", "Content-Length: 100"))))) {
            proxy.serve(server, server);
            RawCaller.Reply reply = proxy.call("POST", "/once/1");
            assertThat(reply.status()).isEqualTo(502);
            assertThat(reply.header("Signature")).isEmpty();
            assertThat(server.received()).hasSize(1);
            assertThat(proxy.state().observations()).containsExactly(Observation.GARBLED);
        }
    }

    @Test
    void answerWithoutALengthIsCompleteWhenTheConnectionEndsCleanly() throws IOException {
        try (FakeBackendServer server = FakeBackendServer.start(request -> FakeBackendServer.thenClose(
                text(request.rawAnswer(200, "to the end", "Request-Id: r1", "Signature: s"))))) {
            proxy.serve(server);
            RawCaller.Reply reply = proxy.call("POST", "/once/1");
            assertThat(reply.status()).isEqualTo(200);
            assertThat(reply.body()).isEqualTo("to the end");
        }
    }

    @Test
    void answerWithoutALengthIsIncompleteWhenTheConnectionIsReset() throws IOException {
        try (ResettingServer server = ResettingServer.start(
                "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\nConnection: close\r\n\r\nhalf of the body")) {
            proxy.servePorts(server.port());
            RawCaller.Reply reply = proxy.call("POST", "/once/1");
            assertThat(reply.status()).isEqualTo(502);
            assertThat(reply.body()).doesNotContain("half");
        }
    }

    @Test
    void bytesThatAreNotAnAnswerFailTheRequest() throws IOException {
        try (FakeBackendServer server =
                FakeBackendServer.start(request -> FakeBackendServer.thenClose("what is this\r\n\r\n"))) {
            proxy.serve(server);
            assertThat(proxy.call("POST", "/once/1").status()).isEqualTo(502);
        }
    }

    @Test
    void successWithoutASignatureIsNotForwarded() throws IOException {
        try (FakeBackendServer server = FakeBackendServer.start(
                request -> request.rawAnswer(200, "x", "Request-Id: r1", "Content-Length: 1"))) {
            proxy.serve(server);
            assertThat(proxy.call("POST", "/once/1").status()).isEqualTo(502);
        }
    }

    @Test
    void onceRequestWhoseAnswerIsLostIsNotRetried() throws IOException {
        try (FakeBackendServer first = FakeBackendServer.start(request -> new byte[0]);
                FakeBackendServer second = FakeBackendServer.start(request -> new byte[0])) {
            proxy.serve(first, second);
            RawCaller.Reply reply = proxy.call("POST", "/once/1");
            assertThat(reply.status()).isEqualTo(502);
            assertThat(first.received().size() + second.received().size()).isEqualTo(1);
        }
    }

    @Test
    void repeatableRequestWhoseAnswerIsLostIsRetriedOnAnotherServer() throws IOException {
        AtomicInteger arrivals = new AtomicInteger();
        FakeBackendServer.Script script =
                request -> arrivals.incrementAndGet() == 1 ? new byte[0] : ProxyFixture.answer(request, 200, "second");
        try (FakeBackendServer first = FakeBackendServer.start(script);
                FakeBackendServer second = FakeBackendServer.start(script)) {
            proxy.serve(first, second);
            assertThat(proxy.call("GET", "/safe/1").body()).isEqualTo("second");
            assertThat(first.received()).hasSize(1);
            assertThat(second.received()).hasSize(1);
        }
    }

    @Test
    void refusalByEveryServerIsReportedAsNotRunWithARetryTime() throws IOException {
        FakeBackendServer.Script script = request -> ProxyFixture.answer(request, 503, "", "Not-Run: 1");
        try (FakeBackendServer first = FakeBackendServer.start(script);
                FakeBackendServer second = FakeBackendServer.start(script)) {
            proxy.serve(first, second);
            RawCaller.Reply reply = proxy.call("POST", "/once/1");
            assertThat(reply.status()).isEqualTo(503);
            assertThat(Double.parseDouble(reply.header("Retry-After"))).isGreaterThan(0.0);
        }
    }

    @Test
    void refusalWithoutProofIsNotReportedAsNotRun() throws IOException {
        try (FakeBackendServer server = answering(503)) {
            proxy.serve(server);
            RawCaller.Reply reply = proxy.call("POST", "/once/1");
            assertThat(reply.status()).isEqualTo(502);
            assertThat(reply.header("Signature")).isEmpty();
        }
    }

    @Test
    void failureOfTheServerIsForwardedUnchanged() throws IOException {
        try (FakeBackendServer server = answering(500)) {
            proxy.serve(server);
            RawCaller.Reply reply = proxy.call("POST", "/once/1");
            assertThat(reply.status()).isEqualTo(500);
            assertThat(reply.header("Signature")).isEqualTo("s");
        }
    }

    @Test
    void requestToASilentServerEndsWithAnUnknownOutcomeAtItsDeadline() throws IOException {
        try (FakeBackendServer server = FakeBackendServer.start(TrafficServerTest::never);
                RawCaller caller = proxy.connect()) {
            proxy.serve(server);
            long start = System.nanoTime();
            caller.send(ProxyFixture.request("POST", "/once/1", 600));
            assertThat(caller.reply().status()).isEqualTo(504);
            long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
            assertThat(tookMillis).isAtLeast(500);
            assertThat(tookMillis).isAtMost(900);
        }
    }

    @Test
    void routeTimeoutEndsARequestWhoseCallerWaitsLonger() throws IOException {
        try (FakeBackendServer server = FakeBackendServer.start(TrafficServerTest::never);
                RawCaller caller = proxy.connect()) {
            proxy.serve(server);
            long start = System.nanoTime();
            caller.send(ProxyFixture.request("POST", "/once/1", 20_000));
            assertThat(caller.reply().status()).isEqualTo(504);
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start)).isAtMost(2900);
        }
    }

    @Test
    void requestOfACallerThatHasDisconnectedIsCancelled() throws IOException, InterruptedException {
        try (FakeBackendServer server = FakeBackendServer.start(TrafficServerTest::endlessParts)) {
            proxy.serve(server);
            RawCaller caller = proxy.connect();
            caller.send(ProxyFixture.request("GET", "/safe/1", 3000));
            server.awaitRequest();
            caller.close();
            assertThat(server.awaitClose()).isEqualTo(0);
        }
    }

    @Test
    void requestsAreRefusedAsNotRunUntilAConfigurationIsKnown() throws IOException {
        RawCaller.Reply reply = proxy.call("GET", "/safe/1");
        assertThat(reply.status()).isEqualTo(503);
        assertThat(reply.header("Retry-After")).isNotEmpty();
    }

    @Test
    void serviceWithoutServersIsRefusedAtOnce() throws IOException {
        proxy.serve();
        assertThat(proxy.call("POST", "/once/1").status()).isEqualTo(503);
    }

    @Test
    void stoppingVmServesRequestsAndClosesTheirConnections() throws IOException {
        try (FakeBackendServer server = answering(200)) {
            proxy.serve(server);
            proxy.state().stop();
            RawCaller.Reply reply = proxy.call("GET", "/safe/1");
            assertThat(reply.status()).isEqualTo(200);
            assertThat(reply.header("Connection")).isEqualTo("close");
        }
    }

    @Test
    void requestThatWasReadIsAnsweredAfterReadingHasStopped() throws IOException, InterruptedException {
        try (FakeBackendServer server = FakeBackendServer.start(request -> {
                    proxy.server().stopReading();
                    return ProxyFixture.answer(request, 200, "read");
                });
                RawCaller caller = proxy.connect()) {
            proxy.serve(server);
            caller.send(ProxyFixture.request("GET", "/safe/1", 3000));
            assertThat(caller.reply().body()).isEqualTo("read");
            caller.sendIgnoringErrors(ProxyFixture.request("GET", "/safe/2", 3000));
            TimeUnit.MILLISECONDS.sleep(200);
            assertThat(server.received()).hasSize(1);
        }
    }

    private static FakeBackendServer answering(int status) throws IOException {
        return FakeBackendServer.start(request -> ProxyFixture.answer(request, status, "b"));
    }

    private static byte[] never(FakeBackendServer.Received request) throws IOException {
        try {
            TimeUnit.SECONDS.sleep(10);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        return new byte[0];
    }

    /** Answers without an end, a part at a time, so that the fake server notices when its connection is closed. */
    private static byte[] endlessParts(FakeBackendServer.Received request) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(300);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        return request.rawAnswer(200, "x", "Request-Id: r1", "Signature: s", "Content-Length: 100");
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
