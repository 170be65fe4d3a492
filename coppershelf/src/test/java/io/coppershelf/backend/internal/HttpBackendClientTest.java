package io.coppershelf.backend.internal;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.coppershelf.backend.BackendClient.Exchange;
import io.coppershelf.backend.BackendRequest;
import io.coppershelf.backend.BackendResult;
import io.coppershelf.backend.BackendResult.ServerState;
import io.coppershelf.component.TimeSource;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.testing.FakeBackendServer;
import io.coppershelf.testing.FakeBackendServer.Received;
import io.coppershelf.testing.FakeBackendServer.Script;
import io.coppershelf.testing.FakeComponents;
import io.coppershelf.testing.FreePorts;
import io.coppershelf.ticket.ServerSpec;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(60)
class HttpBackendClientTest {
    private static final Duration LIMIT = Duration.ofSeconds(20);
    private static final int MAX_ANSWER_BYTES = 100;
    private static final String OWN_ID = "Coppershelf-Try-Id: t1";

    private final ExecutorService executor = Executors.newFixedThreadPool(4);
    private final CountDownLatch stall = new CountDownLatch(1);
    private HttpBackendClient client;
    private FakeBackendServer server;

    static {
        HttpClientHolder.applySystemProperties();
    }

    private void start(Script script) throws IOException {
        server = FakeBackendServer.start(script);
        client = new HttpBackendClient(new HttpClientHolder(executor, TimeSource.system()), TimeSource.system());
    }

    @AfterEach
    void stop() throws IOException {
        stall.countDown();
        server.close();
        executor.shutdownNow();
    }

    private byte[] stall() {
        try {
            stall.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        return new byte[0];
    }

    private BackendRequest request(String attemptId, Duration limit) {
        ServerSpec spec = FakeComponents.server(server.port(), 2);
        return new BackendRequest(
                attemptId,
                spec,
                "POST",
                "/claims?a=b",
                List.of(new BackendRequest.Header("X-Sent", "yes")),
                new byte[] {'h', 'i'},
                System.nanoTime() + limit.toNanos(),
                MAX_ANSWER_BYTES);
    }

    private Exchange send(String attemptId) {
        return client.send(request(attemptId, LIMIT));
    }

    static Stream<Arguments> faults() {
        String ok = "HTTP/1.1 200 OK\r\n" + OWN_ID + "\r\n";
        return Stream.of(
                Arguments.of("", ErrorKind.SERVER_LOST),
                Arguments.of("HTTP/1.1 200 OK\r\nContent-Le", ErrorKind.SERVER_LOST),
                Arguments.of("garbage\r\n\r\n", ErrorKind.SERVER_LOST),
                Arguments.of("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", ErrorKind.ANSWER_FOREIGN),
                Arguments.of("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ErrorKind.ANSWER_FOREIGN),
                Arguments.of(
                        "HTTP/1.1 200 OK\r\nCoppershelf-Try-Id: t0\r\nContent-Length: 1\r\n\r\nx",
                        ErrorKind.ANSWER_FOREIGN),
                Arguments.of(ok + "Coppershelf-Try-Id: t0\r\nContent-Length: 1\r\n\r\nx", ErrorKind.ANSWER_FOREIGN),
                Arguments.of(ok + "Content-Length: 5\r\n\r\nab", ErrorKind.ANSWER_TRUNCATED),
                Arguments.of(ok + "\r\nab", ErrorKind.ANSWER_TRUNCATED),
                Arguments.of(ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nab", ErrorKind.ANSWER_TRUNCATED),
                Arguments.of(ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", ErrorKind.ANSWER_TRUNCATED),
                Arguments.of(ok + "Content-Length: 101\r\n\r\n" + "x".repeat(101), ErrorKind.ANSWER_TOO_LARGE),
                Arguments.of(
                        ok + "Transfer-Encoding: chunked\r\n\r\n65\r\n" + "x".repeat(101) + "\r\n0\r\n\r\n",
                        ErrorKind.ANSWER_TOO_LARGE),
                Arguments.of(ok + "Coppershelf-Execution: not-started\r\nContent-Length: 0\r\n\r\n", null),
                Arguments.of(
                        "HTTP/1.1 503 No\r\nCoppershelf-Execution: not-started\r\nContent-Length: 0\r\n\r\n",
                        ErrorKind.ANSWER_FOREIGN));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void returnsOnlyCompleteAnswersAndSendsOnce(String raw, ErrorKind expected) throws Exception {
        start(request -> FakeBackendServer.thenClose(raw));

        BackendResult result = send("t1").result().get();

        assertThat(result.error()).isEqualTo(Optional.ofNullable(expected));
        assertThat(result.answer().isPresent()).isEqualTo(expected == null);
        assertThat(server.received()).hasSize(1);
    }

    /** Guards against a success with an empty or short body that is taken for a complete answer. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nCoppershelf-Try-Id: t1\r\n\r\nwhole",
                "HTTP/1.1 200 OK\r\nCoppershelf-Try-Id: t1\r\nContent-Length: 5\r\n\r\nwhole",
                "HTTP/1.1 200 OK\r\nCoppershelf-Try-Id: t1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
            })
    void answerThatIsCutAtAnyByteIsNotReturned(String raw) throws Exception {
        int[] cut = {raw.length()};
        start(request -> FakeBackendServer.thenClose(raw.substring(0, cut[0])));
        assertThat(send("t1").result().get().answer()).isPresent();
        for (cut[0] = 0; cut[0] < raw.length(); cut[0]++) {
            assertWithMessage("answer that is cut after %s bytes", cut[0])
                    .that(send("t1").result().get().answer())
                    .isEmpty();
        }
    }

    /** Guards against the status, or the proof of "not run", of an earlier answer that a server broke off. */
    @Tag("known-red")
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 No\r\nX-Note: text\r\nCoppershelf-Execution: not-started\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX-Note: text\r\nCoppershelf-Try-Id: t0\r\nContent-Length: 0\r\n\r\n"
            })
    void headThatIsPutTogetherFromTwoAnswersIsNotReturned(String broken) throws Exception {
        String whole = "HTTP/1.1 500 Failed\r\nContent-Length: 5\r\nCoppershelf-Try-Id: t1\r\n\r\nwhole";
        int[] cut = {0};
        start(request -> FakeBackendServer.thenClose(broken.substring(0, cut[0]) + whole));
        assertThat(send("t1").result().get().answer()).isPresent();
        for (cut[0] = 1; cut[0] < broken.length(); cut[0]++) {
            assertWithMessage("answer after %s bytes of another", cut[0])
                    .that(send("t1").result().get().answer())
                    .isEmpty();
        }
    }

    /** Guards against an answer that HTTP does not have and that is returned as one of the server. */
    @Tag("known-red")
    @ParameterizedTest
    @ValueSource(
            strings = {"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 050 OK", "HTTP/1.1 600 OK", "HTTP/9.9 200 OK"})
    void answerWithAStatusLineThatHttpDoesNotHaveIsNotReturned(String statusLine) throws Exception {
        start(request -> FakeBackendServer.thenClose(
                statusLine + "\r\nContent-Length: 5\r\nCoppershelf-Try-Id: t1\r\n\r\nwhole"));
        assertThat(send("t1").result().get().answer()).isEmpty();
    }

    @Test
    void sendsAttemptWithItsIdAndRemainingTime() throws Exception {
        start(request -> request.answer(201, "whole", "Coppershelf-Server-State: Draining", "X-Kept: 1"));

        BackendResult result = send("t1").result().get();

        Received received = server.awaitRequest();
        assertThat(received.target()).isEqualTo("/claims?a=b");
        assertThat(received.body()).isEqualTo("hi");
        assertThat(received.headers()).containsEntry("x-sent", "yes");
        assertThat(Long.parseLong(received.headers().get("coppershelf-deadline-ms")))
                .isAtMost(LIMIT.toMillis());
        assertThat(result.serverState()).isEqualTo(ServerState.DRAINING);
        assertThat(result.answer().orElseThrow().status()).isEqualTo(201);
        assertThat(result.answer().orElseThrow().headers()).contains(new BackendRequest.Header("x-kept", "1"));
        assertThat(result.answer().orElseThrow().headers().toString()).doesNotContain("oppershelf");
    }

    @ParameterizedTest
    @CsvSource({"503, SERVER_REFUSED", "504, DEADLINE_BEFORE_RUN"})
    void treatsRefusalByServerAsProofThatRequestWasNotRun(int status, ErrorKind expected) throws Exception {
        start(request ->
                request.answer(status, "", "Coppershelf-Execution: not-started", "Coppershelf-Server-State: shedding"));

        assertThat(send("t1").result().get()).isEqualTo(BackendResult.failed(expected, ServerState.SHEDDING));
    }

    @Test
    void rejectsCrossedAnswersOfBothAttempts() throws Exception {
        start(request -> {
            String other = request.attemptId().equals("t1") ? "t2" : "t1";
            return request.rawAnswer(200, other, "Content-Length: 2", "Coppershelf-Try-Id: " + other);
        });
        Exchange first = send("t1");
        Exchange second = send("t2");

        assertThat(first.result().get().error()).hasValue(ErrorKind.ANSWER_FOREIGN);
        assertThat(second.result().get().error()).hasValue(ErrorKind.ANSWER_FOREIGN);
    }

    @Test
    void neverReusesConnectionAfterForeignAnswer() throws Exception {
        start(request -> request.attemptId().equals("t1")
                ? request.rawAnswer(200, "", "Content-Length: 0", "Coppershelf-Try-Id: t0")
                : request.answer(200, "own"));
        assertThat(send("t1").result().get().error()).hasValue(ErrorKind.ANSWER_FOREIGN);

        assertThat(send("t2").result().get().answer()).isPresent();

        assertThat(server.received().get(1).connection()).isEqualTo(1);
    }

    @Test
    void reusesConnectionAfterCompleteAnswer() throws Exception {
        start(request -> request.answer(200, "own"));
        for (int i = 0; i < 20; i++) {
            assertThat(send("t" + i).result().get().answer()).isPresent();
        }

        assertThat(server.received().get(19).connection()).isLessThan(3);
    }

    @Test
    void reportsNoServerIfConnectionIsRefused() throws Exception {
        start(request -> new byte[0]);
        BackendRequest request = request("t1", LIMIT);
        BackendRequest toClosedPort = new BackendRequest(
                request.attemptId(),
                FakeComponents.server(FreePorts.address().getPort(), 2),
                request.method(),
                request.target(),
                request.headers(),
                request.body(),
                request.deadlineNanos(),
                MAX_ANSWER_BYTES);

        assertThat(client.send(toClosedPort).result().get().error()).hasValue(ErrorKind.NO_SERVER);
    }

    @Test
    void sendsNothingAfterDeadline() throws Exception {
        start(request -> request.answer(200, ""));

        BackendResult result =
                client.send(request("t1", Duration.ZERO)).result().get();

        assertThat(result.error()).hasValue(ErrorKind.DEADLINE_BEFORE_RUN);
        assertThat(server.received()).isEmpty();
    }

    @Test
    void sendsNoMoreAttemptsThanServerHasSlots() throws Exception {
        start(request -> stall());
        Exchange first = send("t1");
        Exchange second = send("t2");

        assertThat(send("t3").result().get().error()).hasValue(ErrorKind.OVERLOADED);

        stall.countDown();
        assertThat(first.result().get().error()).hasValue(ErrorKind.SERVER_LOST);
        assertThat(second.result().get().error()).hasValue(ErrorKind.SERVER_LOST);
    }

    @ParameterizedTest
    @CsvSource({
        "not-started, t1, DEADLINE_BEFORE_RUN",
        "started, t1, DEADLINE_PASSED",
        "unknown, t1, DEADLINE_PASSED",
        "nonsense, t1, DEADLINE_PASSED",
        "finished, t1, DEADLINE_PASSED",
        "not-started, t0, DEADLINE_PASSED",
    })
    void treatsCancellationAsNotRunOnlyIfServerConfirmsIt(String execution, String answeredId, ErrorKind expected)
            throws Exception {
        start(request -> request.target().equals("/coppershelf/cancel/t1")
                ? request.rawAnswer(
                        200,
                        "",
                        "Content-Length: 0",
                        "Coppershelf-Try-Id: " + answeredId,
                        "Coppershelf-Execution: " + execution)
                : answerAfterStall(request));
        Exchange exchange = send("t1");
        Received sent = server.awaitRequest();

        exchange.cancel(Duration.ofSeconds(1));

        assertThat(exchange.result().get().error()).hasValue(expected);
        stall.countDown();
        assertThat(server.awaitClose()).isEqualTo(sent.connection());
    }

    private byte[] answerAfterStall(Received request) {
        byte[] unused = stall();
        return request.answer(200, "late");
    }

    @Test
    void returnsAnswerThatArrivesDuringCancellation() throws Exception {
        CountDownLatch cancelled = new CountDownLatch(1);
        start(request -> {
            if (request.target().startsWith("/coppershelf/cancel/")) {
                cancelled.countDown();
                return request.answer(200, "", "Coppershelf-Execution: finished");
            }
            await(cancelled);
            return request.answer(200, "whole");
        });
        Exchange exchange = send("t1");
        Received unused = server.awaitRequest();

        exchange.cancel(LIMIT);

        assertThat(exchange.result().get().answer()).isPresent();
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @ParameterizedTest
    @EnumSource
    void probeReturnsStateOfServer(ServerState state) throws Exception {
        start(request -> request.answer(200, "", "Coppershelf-Server-State: " + state));

        assertThat(client.probe(FakeComponents.server(server.port(), 2), LIMIT).get())
                .hasValue(state);
        assertThat(server.received().get(0).target()).isEqualTo("/coppershelf/health");
    }

    @Test
    void probeOfUnresponsiveServerTimesOut() throws Exception {
        start(request -> stall());
        try (ServerSocket silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            ServerSpec spec = FakeComponents.server(silent.getLocalPort(), 2);

            assertThat(client.probe(spec, Duration.ofMillis(50)).get()).isEmpty();
        }
    }
}
