package io.coppershelf.platform.internal;

import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import io.coppershelf.component.TimeSource;
import io.coppershelf.outcome.CoppershelfException;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.platform.Platform;
import io.prometheus.metrics.core.metrics.Counter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * Reads the platform over HTTP/1.1. After a failure, calls are delayed with exponential backoff, so a caller may retry
 * at once.
 */
public final class HttpPlatform implements Platform, AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_ANSWER_BYTES = 2 * 1_048_576;
    private static final int OK = 200;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int THREADS = 2;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration MAX_WAIT = Duration.ofSeconds(60);

    private final URI address;
    private final TimeSource time;
    private final Backoff backoff;
    private final Counter calls = Counter.builder()
            .name("coppershelf_platform_calls_total")
            .help("Calls to the platform by what they read and how they ended.")
            .labelNames("call", "result")
            .build();
    private final ExecutorService executor = Executors.newFixedThreadPool(
            THREADS,
            new ThreadFactoryBuilder()
                    .setNameFormat("platform-%d")
                    .setDaemon(true)
                    .build());
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .executor(executor)
            .build();

    /**
     * Creates a client; nothing is sent yet.
     *
     * @param address the platform's address
     * @param time the clock for backoff
     * @param random the source of jitter
     */
    public HttpPlatform(URI address, TimeSource time, RandomGenerator random) {
        this.address = address;
        this.time = time;
        this.backoff = new Backoff(random);
    }

    @Override
    public CompletableFuture<PublishedTickets> tickets(long position, Duration wait) {
        return call("tickets", position, wait, PlatformAnswers::tickets);
    }

    @Override
    public CompletableFuture<PublishedVms> vms(long revision, Duration wait) {
        return call("vms", revision, wait, PlatformAnswers::vms);
    }

    /** Returns the metric of calls. */
    public Counter calls() {
        return calls;
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private <T> CompletableFuture<T> call(String name, long after, Duration wait, Function<byte[], T> reader) {
        if (executor.isShutdown()) {
            return CompletableFuture.failedFuture(
                    CoppershelfException.of(ErrorKind.PLATFORM_UNREACHABLE, "platform client is closed"));
        }
        Duration bounded = wait.compareTo(MAX_WAIT) > 0 ? MAX_WAIT : wait;
        HttpRequest request = HttpRequest.newBuilder(
                        address.resolve("/" + name + "?after=" + after + "&wait=" + bounded.toMillis()))
                .build();
        return CompletableFuture.runAsync(() -> {}, delayed())
                .thenCompose(ignored -> send(request, bounded.plus(ANSWER_TIMEOUT)))
                .thenApply(HttpPlatform::body)
                .thenApply(reader)
                .handle((answer, failure) -> recordResult(name, answer, failure));
    }

    private Executor delayed() {
        Duration delay = remainingBackoff();
        return delay.isZero()
                ? executor
                : CompletableFuture.delayedExecutor(delay.toNanos(), TimeUnit.NANOSECONDS, executor);
    }

    private CompletableFuture<HttpResponse<byte[]>> send(HttpRequest request, Duration timeout) {
        CompletableFuture<HttpResponse<byte[]>> exchange =
                client.sendAsync(request, head -> new LimitedBody(MAX_ANSWER_BYTES));
        return exchange.copy()
                .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((answer, failure) -> exchange.cancel(true));
    }

    private static byte[] body(HttpResponse<byte[]> answer) {
        if (answer.statusCode() >= FIRST_SERVER_ERROR) {
            throw CoppershelfException.of(
                    ErrorKind.PLATFORM_UNREACHABLE, "platform answered with status " + answer.statusCode());
        }
        if (answer.statusCode() != OK) {
            throw CoppershelfException.of(
                    ErrorKind.PLATFORM_GARBLED, "platform answered with status " + answer.statusCode());
        }
        return answer.body();
    }

    private <T> T recordResult(String name, T answer, Throwable failure) {
        if (failure == null) {
            calls.labelValues(name, "answered").inc();
            recordSuccess();
            return answer;
        }
        CoppershelfException problem = problem(failure);
        calls.labelValues(name, problem.kind().code()).inc();
        recordFailure();
        logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).log(
                "[platform] Reading %s failed: %s.", name, problem.getMessage());
        throw problem;
    }

    private static CoppershelfException problem(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        if (cause instanceof CoppershelfException problem) {
            return problem;
        }
        boolean isOversized = cause instanceof LimitedBody.OversizedException
                || cause.getCause() instanceof LimitedBody.OversizedException;
        ErrorKind kind = isOversized ? ErrorKind.PLATFORM_GARBLED : ErrorKind.PLATFORM_UNREACHABLE;
        return CoppershelfException.causedBy(kind, "platform gave no answer: " + cause, cause);
    }

    private synchronized Duration remainingBackoff() {
        return backoff.remaining(time.nanos());
    }

    private synchronized void recordSuccess() {
        backoff.succeeded();
    }

    private synchronized void recordFailure() {
        backoff.failed(time.nanos());
    }
}
