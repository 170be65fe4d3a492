package io.coppershelf.proxy;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.coppershelf.health.estimate.Observation;
import io.coppershelf.testing.Conditions;
import io.coppershelf.testing.FakeBackendServer;
import io.coppershelf.testing.RawCaller;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests memory that callers and servers which read slowly would exhaust, over real sockets. */
@Timeout(90)
final class MemoryPressureTest {
    private static final long MEMORY_BYTES = 8L * 1024 * 1024;
    private static final int LARGE_ANSWER_BYTES = 500_000;
    private static final int UPLOAD_BYTES = 360_000;
    private static final int SMALL_REQUESTS = 500;

    @AutoClose
    private final ProxyFixture proxy = ProxyFixture.withMemory(MEMORY_BYTES);

    /** Guards against callers that read slowly and exhaust the memory, or slow down all others. */
    @Tag("known-red")
    @Test
    void smallRequestsAreServedAsFastBesideThreeHundredSlowCallers() throws Exception {
        String large = "x".repeat(LARGE_ANSWER_BYTES);
        try (FakeBackendServer server = FakeBackendServer.start(request ->
                ProxyFixture.answer(request, 200, request.target().startsWith("/large/") ? large : "small"))) {
            proxy.serve(server);
            sendSmallRequests();
            long p99Alone = sendSmallRequests();
            try (SlowCallers slow = SlowCallers.start(proxy.address(), 300, "/large/")) {
                Conditions.await(() -> proxy.server().memoryCounts().paused() > 0);
                assertThat(slow.count()).isEqualTo(300);
                long p99 = sendSmallRequests();
                System.out.printf(
                        "p99 alone %d us, beside slow callers %d us, peak %d of %d bytes, paused %d, closed %d%n",
                        p99Alone / 1000,
                        p99 / 1000,
                        proxy.server().memoryCounts().maxBytes(),
                        MEMORY_BYTES,
                        proxy.server().memoryCounts().paused(),
                        proxy.server().memoryCounts().closed());
                assertThat(proxy.server().memoryCounts().maxBytes()).isAtMost(MEMORY_BYTES);
                assertThat(proxy.state().observations())
                        .containsNoneOf(Observation.FAILURE, Observation.GARBLED, Observation.STALL);
                assertThat(proxy.logLines().toString()).contains("memory-short");
                assertThat(p99).isAtMost(p99Alone * 12 / 10);
            }
        }
    }

    /** Guards against answers that fail for lack of memory although their callers read them. */
    @Test
    void answersThatExceedTheMemoryTogetherAllReachTheirCallers() throws Exception {
        String large = "x".repeat(LARGE_ANSWER_BYTES);
        try (FakeBackendServer server = FakeBackendServer.start(request -> ProxyFixture.answer(request, 200, large))) {
            proxy.serve(server);
            List<RawCaller> callers = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                RawCaller caller = proxy.connect();
                caller.send(ProxyFixture.request("GET", "/large/" + i, 2400));
                callers.add(caller);
            }
            Conditions.await(() -> proxy.server().memoryCounts().paused() > 0);
            // All callers read at the same time; those that do not may lose their connections.
            ExecutorService readers = Executors.newFixedThreadPool(callers.size());
            List<Future<RawCaller.Reply>> replies = readers.invokeAll(callers.stream()
                    .<Callable<RawCaller.Reply>>map(caller -> caller::reply)
                    .toList());
            readers.shutdown();
            for (Future<RawCaller.Reply> reply : replies) {
                assertThat(reply.get().body()).hasLength(LARGE_ANSWER_BYTES);
            }
            for (RawCaller caller : callers) {
                caller.close();
            }
            assertThat(proxy.server().memoryCounts().maxBytes()).isAtMost(MEMORY_BYTES);
        }
    }

    /** Guards against a complete answer that is cut off because its caller reads for longer than connections idle. */
    @Test
    void slowCallerGetsTheCompleteAnswerWhileMemoryIsNotShort() throws Exception {
        int bytes = 4_000_000;
        String large = "x".repeat(bytes);
        try (FakeBackendServer server = FakeBackendServer.start(request -> ProxyFixture.answer(request, 200, large));
                RawCaller caller = proxy.connect()) {
            proxy.serve(server);
            caller.send(ProxyFixture.request("GET", "/large/1", 2400));
            TimeUnit.SECONDS.sleep(3);
            assertThat(caller.reply().body()).hasLength(bytes);
        }
    }

    /** Guards against servers that stop reading and so exhaust the memory or are not detected. */
    @Test
    void fiftyServersThatStopReadingUploadsAreFoundAndOthersAreServed() throws Exception {
        List<UnreadUploadServer> servers = new ArrayList<>();
        List<RawCaller> callers = new ArrayList<>();
        try {
            for (int i = 0; i < 50; i++) {
                servers.add(UnreadUploadServer.start());
            }
            proxy.servePorts(servers.stream().mapToInt(UnreadUploadServer::port).toArray());
            String body = "y".repeat(UPLOAD_BYTES);
            for (int i = 0; i < 50; i++) {
                RawCaller caller = proxy.connect();
                caller.sendIgnoringErrors("POST /once/" + i + " HTTP/1.1\nHost: host\nRequest-Id: r1\nDeadline: 2400\n"
                        + "Content-Length: " + UPLOAD_BYTES + "\n\n" + body);
                callers.add(caller);
            }
            for (int i = 0; i < 100; i++) {
                assertThat(proxy.call("GET", "/safe/" + i).status()).isEqualTo(200);
                TimeUnit.MILLISECONDS.sleep(10);
            }
            long refused = proxy.server().memoryCounts().refused();
            long stalls = proxy.state().observations().stream()
                    .filter(Observation.STALL::equals)
                    .count();
            assertThat(refused).isAtLeast(1);
            assertThat(stalls).isEqualTo(50 - refused);
            assertThat(proxy.server().memoryCounts().maxBytes()).isAtMost(MEMORY_BYTES);
            int notRun = 0;
            for (RawCaller caller : callers) {
                RawCaller.Reply reply = caller.reply();
                assertThat(reply.status()).isAnyOf(503, 504);
                if (reply.status() == 503) {
                    notRun++;
                    assertThat(reply.header("Retry-After")).isNotEmpty();
                    assertThat(reply.header("Coppershelf-Outcome")).isEqualTo("not_run");
                }
            }
            assertThat(notRun).isEqualTo((int) refused);
        } finally {
            for (UnreadUploadServer server : servers) {
                server.close();
            }
            for (RawCaller caller : callers) {
                caller.close();
            }
        }
    }

    /** Sends a hundred requests a second; returns the 99th percentile of their latency, in nanoseconds. */
    private long sendSmallRequests() throws IOException, InterruptedException {
        long[] nanos = new long[SMALL_REQUESTS];
        try (RawCaller caller = proxy.connect()) {
            for (int i = 0; i < nanos.length; i++) {
                TimeUnit.MILLISECONDS.sleep(10);
                long start = System.nanoTime();
                caller.send(ProxyFixture.request("GET", "/safe/" + i, 2400));
                RawCaller.Reply reply = caller.reply();
                assertWithMessage(reply.head() + reply.body())
                        .that(reply.status())
                        .isEqualTo(200);
                nanos[i] = System.nanoTime() - start;
            }
        }
        Arrays.sort(nanos);
        return nanos[nanos.length * 99 / 100];
    }
}
