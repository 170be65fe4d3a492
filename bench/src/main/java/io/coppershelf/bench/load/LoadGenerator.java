package io.coppershelf.bench.load;

import io.coppershelf.bench.backend.BackendHeaders;
import io.coppershelf.ticket.RouteSpec;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;

/** Sends calls in an open loop at a constant rate and records the result of each. */
public final class LoadGenerator {
    /** Extra time after the deadline during which a late answer is still recorded. */
    private static final Duration TIMEOUT_MARGIN = Duration.ofSeconds(2);

    private final HttpClient http;
    private final LoadPlan plan;
    private final SplittableRandom random;

    private LoadGenerator(LoadPlan plan) {
        this.plan = plan;
        this.random = new SplittableRandom(plan.seed());
        this.http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    }

    /** Runs the plan and returns the results in send order. */
    public static List<CallResult> run(LoadPlan plan) {
        return new LoadGenerator(plan).run();
    }

    private List<CallResult> run() {
        long intervalNanos = (long) (1e9 / plan.requestsPerSecond());
        int count = (int) (plan.duration().toNanos() / intervalNanos);
        List<CompletableFuture<CallResult>> calls = new ArrayList<>(count);
        long startNanos = System.nanoTime();
        for (int i = 0; i < count; i++) {
            long dueNanos = startNanos + i * intervalNanos;
            for (long remaining = dueNanos - System.nanoTime();
                    remaining > 0;
                    remaining = dueNanos - System.nanoTime()) {
                LockSupport.parkNanos(remaining);
            }
            calls.add(call(i, dueNanos, dueNanos - startNanos));
        }
        return calls.stream().map(CompletableFuture::join).toList();
    }

    private CompletableFuture<CallResult> call(int index, long dueNanos, long offsetNanos) {
        RouteSpec route = plan.routes().get(random.nextInt(plan.routes().size()));
        String workId = plan.name() + "-" + index;
        return http.sendAsync(request(index, workId, route), HttpResponse.BodyHandlers.ofByteArray())
                .handle((answer, failure) -> result(workId, route, answer, offsetNanos, System.nanoTime() - dueNanos));
    }

    private HttpRequest request(int index, String workId, RouteSpec route) {
        URI target = plan.targets().get(index % plan.targets().size());
        double factor = -Math.log(1.0 - random.nextDouble());
        long micros = Math.round(plan.meanWork().toNanos() / 1e3 * factor);
        HttpRequest.Builder builder = HttpRequest.newBuilder(target.resolve(path(route, workId)))
                .timeout(route.deadline().plus(TIMEOUT_MARGIN))
                .header(BackendHeaders.WORK_ID, workId)
                .header(BackendHeaders.WORK_MICROS, Long.toString(micros))
                .header(BackendHeaders.ANSWER_BYTES, Integer.toString(plan.answerBytes()));
        if (!route.idempotent()) {
            builder.header("Idempotency-Key", workId);
        }
        boolean hasBody = !route.method().equals("GET");
        return builder.method(
                        route.method(),
                        hasBody
                                ? HttpRequest.BodyPublishers.ofString("{\"work\":\"" + workId + "\"}")
                                : HttpRequest.BodyPublishers.noBody())
                .build();
    }

    private static String path(RouteSpec route, String workId) {
        return route.path().endsWith("*") ? route.path().replace("*", workId) : route.path();
    }

    private CallResult result(
            String workId, RouteSpec route, HttpResponse<byte[]> answer, long offsetNanos, long latencyNanos) {
        if (answer == null) {
            return new CallResult(
                    workId, route, 0, Optional.empty(), Optional.empty(), false, offsetNanos, latencyNanos);
        }
        boolean bodyMatches = Arrays.equals(answer.body(), ExpectedAnswer.of(workId, plan.answerBytes()));
        return new CallResult(
                workId,
                route,
                answer.statusCode(),
                answer.headers().firstValue("Coppershelf-Outcome"),
                answer.headers().firstValue("Coppershelf-Error"),
                bodyMatches,
                offsetNanos,
                latencyNanos);
    }
}
