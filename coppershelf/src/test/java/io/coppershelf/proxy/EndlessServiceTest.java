package io.coppershelf.proxy;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.coppershelf.testing.FakeBackendServer;
import io.coppershelf.testing.RawCaller;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Scenario: all servers of one service send bytes without end, and memory becomes short. Guards against their callers
 * being left without an answer, and against the other services' large answers waiting for the memory.
 */
@Timeout(90)
final class EndlessServiceTest {
    private static final long MEMORY_BYTES = 40L * 1024 * 1024;
    private static final long TIMEOUT_MILLIS = 2500;
    /** Time after the timeout of its route by which each request has an answer. */
    private static final long LATE_MILLIS = 500;

    private static final int SOUND_ANSWER_BYTES = 400_000;
    private static final String OK = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n";

    @AutoClose
    private final ProxyFixture proxy = ProxyFixture.withMemory(MEMORY_BYTES);

    private enum Shape {
        NO_LENGTH("Connection: close\r\n\r\n", "z".repeat(4096)),
        CHUNKS_OF_64_KILOBYTES("Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + "z".repeat(65536) + "\r\n"),
        CHUNKS_OF_ONE_BYTE("Transfer-Encoding: chunked\r\n\r\n", "1\r\nz\r\n".repeat(500)),
        LENGTH_OF_A_TERABYTE("Content-Length: 1099511627776\r\n\r\n", "z".repeat(4096)),
        LARGEST_LENGTH("Content-Length: 16777216\r\n\r\n", ""),
        HEAD("", "X-Filler: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n");

        private final String start;
        private final String repeated;

        Shape(String start, String repeated) {
            this.start = OK + start;
            this.repeated = repeated;
        }
    }

    @ParameterizedTest
    @CsvSource({
        "NO_LENGTH, 40",
        "NO_LENGTH, 100",
        "CHUNKS_OF_64_KILOBYTES, 100",
        "CHUNKS_OF_ONE_BYTE, 40",
        "LENGTH_OF_A_TERABYTE, 100",
        "LARGEST_LENGTH, 100",
        "HEAD, 100"
    })
    void requestsOfTheServiceEndInTimeAndOthersAreServed(Shape shape, int callers) throws Exception {
        String large = "x".repeat(SOUND_ANSWER_BYTES);
        ExecutorService threads = Executors.newFixedThreadPool(callers);
        try (EndlessServer endless = EndlessServer.start(shape.start, shape.repeated, callers);
                FakeBackendServer sound =
                        FakeBackendServer.start(request -> ProxyFixture.answer(request, 200, large))) {
            proxy.serveBeside(sound, endless.port());
            List<Future<Long>> times = new ArrayList<>();
            for (int i = 0; i < callers; i++) {
                times.add(threads.submit(this::millisUntilAnswered));
            }
            endless.awaitRequests();
            TimeUnit.MILLISECONDS.sleep(500);
            for (int i = 0; i < 4; i++) {
                assertThat(proxy.call("GET", "/other/" + i).body()).hasLength(SOUND_ANSWER_BYTES);
            }
            for (Future<Long> time : times) {
                assertWithMessage("milliseconds until an answer")
                        .that(time.get())
                        .isAtMost(TIMEOUT_MILLIS + LATE_MILLIS);
            }
            assertThat(proxy.server().memoryCounts().maxBytes()).isAtMost(MEMORY_BYTES);
        } finally {
            threads.shutdownNow();
        }
    }

    private long millisUntilAnswered() throws IOException {
        long startNanos = System.nanoTime();
        RawCaller.Reply reply = proxy.call("POST", "/once/1");
        assertThat(reply.status()).isAnyOf(502, 504);
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
}
