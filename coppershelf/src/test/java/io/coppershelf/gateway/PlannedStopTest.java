package io.coppershelf.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.testing.FakeBackendServer;
import io.coppershelf.testing.FreePorts;
import io.coppershelf.testing.RawCaller;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Scenario: a VM is stopped as planned while callers send requests that must run at most once. */
@Timeout(40)
final class PlannedStopTest {
    private static final Duration WORK = Duration.ofSeconds(3);
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int WARM_UP_REQUESTS = 6;

    /** A VM that has just started opens few connections to each server. */
    private static final int SERVERS = 2;

    private final List<FakeBackendServer> servers = new ArrayList<>();
    private LoopbackGateway vm;

    @BeforeEach
    void start() throws IOException {
        for (int i = 0; i < SERVERS; i++) {
            servers.add(FakeBackendServer.start(PlannedStopTest::answer));
        }
        InetSocketAddress mesh = FreePorts.address();
        vm = LoopbackGateway.start(
                mesh, mesh, servers.stream().map(FakeBackendServer::port).toList(), TIMEOUT);
    }

    @AfterEach
    void close() throws IOException {
        for (FakeBackendServer server : servers) {
            server.close();
        }
    }

    /** Guards against requests that are passed on late in the grace time and cut at its end. */
    @Test
    void requestThatCannotEndBeforeTheStopIsRefusedAtOnce() throws IOException {
        List<CompletableFuture<RawCaller.Reply>> earlier = new ArrayList<>();
        for (int i = 0; i < WARM_UP_REQUESTS; i++) {
            int number = i;
            earlier.add(CompletableFuture.supplyAsync(() -> post("/once/known", "early-" + number)));
        }
        earlier.forEach(reply -> assertThat(reply.join().status()).isEqualTo(200));
        CompletableFuture<Void> stopped = stop();
        pause(Duration.ofMillis(2500));

        long sentNanos = System.nanoTime();
        RawCaller.Reply reply = post("/once/known", "late");

        assertThat(reply.status()).isEqualTo(503);
        assertThat(reply.header("coppershelf-outcome")).isEqualTo("not_run");
        assertThat(reply.header("connection")).isEqualTo("close");
        assertThat(System.nanoTime() - sentNanos).isLessThan(TimeUnit.SECONDS.toNanos(1));
        assertThat(servers.stream()
                        .flatMap(server -> server.workRequests().stream())
                        .map(request -> request.headers().get("request-id")))
                .doesNotContain("late");
        stopped.join();
    }

    /** Guards against callers that are told nothing when the stop ends before their request. */
    @Test
    void requestThatStillRunsAtTheEndIsAnsweredAsOneThatMayHaveRun() {
        CompletableFuture<RawCaller.Reply> running = CompletableFuture.supplyAsync(() -> post("/once/long", "running"));
        pause(Duration.ofMillis(300));
        CompletableFuture<Void> stopped = stop();

        RawCaller.Reply reply = running.join();

        assertThat(reply.status()).isEqualTo(502);
        assertThat(reply.header("coppershelf-outcome")).isEqualTo("unknown");
        assertThat(reply.header("connection")).isEqualTo("close");
        stopped.join();
    }

    /** Guards against requests that are half read when reading stops, and are cut instead of refused. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "POST /once/half HTTP/1.1\nHost: ",
                "POST /once/half HTTP/1.1\nHost: host\nContent-Length: 4000\n\nab"
            })
    void requestThatIsHalfReadWhenReadingStopsIsRefusedAsNotRun(String half) throws IOException {
        CompletableFuture<RawCaller.Reply> running =
                CompletableFuture.supplyAsync(() -> post("/once/known", "running"));
        try (RawCaller caller = RawCaller.connect(vm.callers())) {
            CompletableFuture<Void> stopped = stop();
            pause(Duration.ofSeconds(1));
            caller.send(half);
            pause(Duration.ofMillis(2300));
            // A reset by these bytes would discard the refusal before it is read.
            caller.sendIgnoringErrors("rest of");
            pause(Duration.ofMillis(100));
            caller.sendIgnoringErrors(" the request");
            pause(Duration.ofMillis(100));

            RawCaller.Reply reply = caller.replyOrEmpty();

            assertThat(reply.head()).isNotEmpty();
            assertThat(reply.status()).isEqualTo(503);
            assertThat(reply.header("coppershelf-outcome")).isEqualTo("not_run");
            assertThat(stopped.isDone()).isFalse();
            assertThat(running.join().status()).isEqualTo(200);
            stopped.join();
        }
    }

    private static byte[] answer(FakeBackendServer.Received request) {
        pause(request.target().startsWith("/once/long") ? Duration.ofSeconds(15) : WORK);
        return LoopbackGateway.answer(request);
    }

    private CompletableFuture<Void> stop() {
        return CompletableFuture.runAsync(() -> {
            try {
                vm.gateway().stop();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private RawCaller.Reply post(String path, String id) {
        String request = "POST " + path + " HTTP/1.1\nHost: host\nRequest-Id: " + id + "\nDeadline: "
                + TIMEOUT.toMillis() + "\n\n";
        try (RawCaller caller = RawCaller.connect(vm.callers())) {
            caller.send(request);
            return caller.replyOrEmpty();
        } catch (IOException e) {
            return new RawCaller.Reply("", "");
        }
    }

    private static void pause(Duration time) {
        try {
            TimeUnit.NANOSECONDS.sleep(time.toNanos());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
