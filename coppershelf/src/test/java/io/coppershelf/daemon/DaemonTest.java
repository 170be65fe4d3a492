package io.coppershelf.daemon;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import io.coppershelf.admission.AdmissionComponent;
import io.coppershelf.backend.BackendComponent;
import io.coppershelf.caller.CallerComponent;
import io.coppershelf.component.Component;
import io.coppershelf.outcome.Outcome;
import io.coppershelf.routing.RoutingComponent;
import io.coppershelf.settings.Settings;
import io.coppershelf.testing.FakeBackendServer;
import io.coppershelf.testing.FakeBackendServer.Received;
import io.coppershelf.testing.FakeComponents;
import io.coppershelf.testing.RawCaller;
import io.coppershelf.testing.RawCaller.Reply;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@Timeout(60)
class DaemonTest {
    private static final String CLAIM = "POST /claims HTTP/1.1\nHost: x\nIdempotency-Key: k1\nContent-Length: 2\n\nhi";

    private FakeBackendServer server;
    private FakeComponents fakes;
    private Daemon daemon;

    private void start(FakeBackendServer.Script script) throws IOException {
        server = FakeBackendServer.start(script);
        fakes = FakeComponents.of(FakeComponents.server(server.port(), 2));
        Settings settings = new Settings(
                FakeComponents.SELF.id(),
                FakeComponents.SELF.dataCentre(),
                "127.0.0.1",
                0,
                0,
                0,
                URI.create("http://127.0.0.1:1"),
                List.of(),
                20,
                4,
                8_000);
        CallerComponent caller = new CallerComponent();
        List<Component> components =
                List.of(fakes, new BackendComponent(), new AdmissionComponent(), new RoutingComponent());
        daemon = Daemon.start(settings, components, caller);
    }

    @AfterEach
    void stop() throws IOException {
        daemon.stop();
        server.close();
    }

    private Reply exchange(String request) throws IOException {
        return RawCaller.exchange(daemon.callerAddress(), request);
    }

    @Test
    void servesRequestFromEndToEnd() throws Exception {
        start(request -> request.answer(
                201,
                "took " + request.body(),
                "X-Kept: yes",
                "Connection: X-Dropped",
                "X-Dropped: 1",
                "Coppershelf-Outcome: not-run"));

        Reply reply = exchange("POST /claims HTTP/1.1\nHost: x\nX-Sent: a\nCoppershelf-Try-Id: forged\n"
                + "Coppershelf-Deadline-Ms: 5000\nIdempotency-Key: k1\nContent-Length: 2\n\nhi");

        assertThat(reply.status()).isEqualTo(201);
        assertThat(reply.body()).isEqualTo("took hi");
        assertThat(reply.header("X-Kept")).isEqualTo("yes");
        assertThat(reply.header("X-Dropped")).isEmpty();
        assertThat(reply.header("Coppershelf-Outcome")).isEqualTo("run");
        Received received = server.workRequests().get(0);
        assertThat(received.headers()).containsEntry("x-sent", "a");
        assertThat(received.attemptId()).isEqualTo(reply.header("Coppershelf-Request-Id") + ".1");
        assertThat(Long.parseLong(received.headers().get("coppershelf-deadline-ms")))
                .isIn(Range.closed(1L, 5000L));
        assertThat(fakes.completed).containsExactly(Outcome.RUN);
    }

    @ParameterizedTest
    @CsvSource({
        "refused, 503, server-refused, not-run, 3",
        "late, 504, deadline-before-run, not-run, 1",
        "lost, 502, server-lost, unknown, 1",
        "foreign, 502, answer-foreign, unknown, 1",
        "short, 502, answer-truncated, unknown, 1",
        "large, 502, answer-too-large, run, 1",
    })
    void reportsTrueOutcomeOfFailedAttemptAndRetriesOnlyIfProvenNotRun(
            String fault, int status, String error, String outcome, int attempts) throws Exception {
        start(request -> faulty(fault, request));

        Reply reply = exchange(CLAIM);

        assertThat(reply.status()).isEqualTo(status);
        assertThat(reply.header("Coppershelf-Error")).isEqualTo(error);
        assertThat(reply.header("Coppershelf-Outcome")).isEqualTo(outcome);
        assertThat(reply.body()).contains("\"requestId\":\"" + reply.header("Coppershelf-Request-Id"));
        assertThat(server.workRequests()).hasSize(attempts);
    }

    private static byte[] faulty(String fault, Received request) {
        return switch (fault) {
            case "refused" -> request.answer(503, "", "Coppershelf-Execution: not-started");
            case "late" -> request.answer(504, "", "Coppershelf-Execution: not-started");
            case "foreign" -> request.rawAnswer(200, "x", "Content-Length: 1", "Coppershelf-Try-Id: other");
            case "short" -> request.rawAnswer(200, "x", "Coppershelf-Try-Id: " + request.attemptId());
            case "large" -> request.answer(200, "x".repeat(1_001));
            default -> new byte[0];
        };
    }

    @Test
    void answersOpenRequestsBeforeItStops() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start(request -> {
            await(release);
            return request.answer(200, "whole");
        });
        try (RawCaller caller = RawCaller.connect(daemon.callerAddress())) {
            caller.send(CLAIM);
            Received unused = server.awaitRequest();

            CompletableFuture<Void> stop = CompletableFuture.runAsync(daemon::stop);
            awaitUnready();
            Reply refused = exchange("GET /shifts/1 HTTP/1.1\nHost: x\n\n");
            release.countDown();

            assertThat(caller.reply().body()).isEqualTo("whole");
            assertThat(refused.header("Coppershelf-Error")).isEqualTo("stopping");
            assertThat(refused.header("Retry-After")).isEqualTo("1");
            stop.join();
        }
    }

    @Test
    void reportsTrueOutcomeOfRunningAndWaitingRequestsDuringStop() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start(request -> {
            await(release);
            return request.answer(200, "whole");
        });
        List<RawCaller> callers = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            RawCaller caller = RawCaller.connect(daemon.callerAddress());
            caller.send(CLAIM.replace("k1", "k" + i));
            callers.add(caller);
        }
        Received unused = server.awaitRequest();
        CompletableFuture<Void> stop = CompletableFuture.runAsync(daemon::stop);
        awaitUnready();
        release.countDown();

        int completeAnswers = 0;
        for (RawCaller caller : callers) {
            Reply reply = caller.reply();
            completeAnswers += reply.body().equals("whole") ? 1 : 0;
            assertThat(reply.header("Coppershelf-Outcome")).isEqualTo(reply.status() == 200 ? "run" : "not-run");
            caller.close();
        }
        stop.join();
        assertThat(completeAnswers).isAtLeast(1);
        assertThat(server.workRequests()).hasSize(completeAnswers);
    }

    private void awaitUnready() {
        while (fakes.readiness.stream().allMatch(condition -> condition.getAsBoolean())) {
            Thread.onSpinWait();
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void answersAtDeadlineWhileServerStalls() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        start(request -> {
            if (request.target().startsWith("/coppershelf/cancel/")) {
                return request.answer(200, "", "Coppershelf-Execution: started");
            }
            await(never);
            return new byte[0];
        });

        Reply reply = exchange(CLAIM.replace("Host", "Coppershelf-Deadline-Ms: 3000\nHost"));

        assertThat(reply.header("Coppershelf-Error")).isEqualTo("deadline-passed");
        Received next = server.awaitRequest();
        while (!next.target().startsWith("/coppershelf/cancel/")) {
            next = server.awaitRequest();
        }
        assertThat(next.attemptId()).isEqualTo(reply.header("Coppershelf-Request-Id") + ".1");
        never.countDown();
    }
}
