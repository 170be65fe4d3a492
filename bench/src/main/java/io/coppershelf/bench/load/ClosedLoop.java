package io.coppershelf.bench.load;

import io.coppershelf.bench.backend.BackendHeaders;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.IntStream;

/**
 * Callers that each send their next call once the previous one is answered, to find the rate at which a daemon
 * saturates.
 */
public final class ClosedLoop {
    private static final int STATUS_OK = 200;

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final URI address;
    private final long endNanos;
    private final AtomicLong lastWorkId = new AtomicLong();
    private final LongAdder answered = new LongAdder();
    private final ConcurrentMap<String, Integer> failures = new ConcurrentHashMap<>();

    private ClosedLoop(URI address, Duration duration) {
        this.address = address;
        this.endNanos = System.nanoTime() + duration.toNanos();
    }

    /**
     * The rates that a closed loop reached.
     *
     * @param answeredPerSecond the calls answered with status 200
     * @param failedPerSecond all other calls
     * @param failures the number of failed calls by the error in their answer
     */
    public record Rates(double answeredPerSecond, double failedPerSecond, Map<String, Integer> failures) {}

    /** Runs the callers for the duration. */
    public static Rates run(URI address, int callers, Duration duration) {
        ClosedLoop loop = new ClosedLoop(address, duration);
        CompletableFuture.allOf(IntStream.range(0, callers)
                        .mapToObj(caller -> loop.callUntilEnd())
                        .toArray(CompletableFuture<?>[]::new))
                .join();
        double seconds = duration.toNanos() / 1e9;
        int failed = loop.failures.values().stream().mapToInt(Integer::intValue).sum();
        return new Rates(loop.answered.sum() / seconds, failed / seconds, Map.copyOf(loop.failures));
    }

    private CompletableFuture<Void> callUntilEnd() {
        if (System.nanoTime() > endNanos) {
            return CompletableFuture.completedFuture(null);
        }
        HttpRequest request = HttpRequest.newBuilder(address)
                .header(BackendHeaders.WORK_ID, "loop-" + lastWorkId.incrementAndGet())
                .timeout(Duration.ofSeconds(10))
                .build();
        return http.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
                .handle(this::recordResult)
                .thenComposeAsync(wasAnswered -> callUntilEnd());
    }

    private boolean recordResult(HttpResponse<byte[]> answer, Throwable failure) {
        if (failure != null) {
            failures.merge("unanswered", 1, Integer::sum);
            return false;
        }
        if (answer.statusCode() == STATUS_OK) {
            answered.increment();
            return true;
        }
        failures.merge(answer.headers().firstValue("Coppershelf-Error").orElse("unstated"), 1, Integer::sum);
        return false;
    }
}
