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

/** Sends calls at a steady rate, in an open loop, and records how each ended. */
public final class LoadGenerator {
    private static final Duration GRACE = Duration.ofSeconds(2);

    private final HttpClient http;
    private final LoadPlan plan;
    private final SplittableRandom random;

    private LoadGenerator(LoadPlan plan) {
        this.plan = plan;
        this.random = new SplittableRandom(plan.seed());
        this.http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    }

    /** Runs the plan and returns the results in the order of sending. */
    public static List<CallResult> run(LoadPlan plan) {
        return new LoadGenerator(plan).run();
    }

    private List<CallResult> run() {
        long interval = (long) (1e9 / plan.requestsPerSecond());
        int count = (int) (plan.duration().toNanos() / interval);
        List<CompletableFuture<CallResult>> calls = new ArrayList<>(count);
        long start = System.nanoTime();
        for (int i = 0; i < count; i++) {
            long due = start + i * interval;
            for (long left = due - System.nanoTime(); left > 0; left = due - System.nanoTime()) {
                LockSupport.parkNanos(left);
            }
            calls.add(call(i, due, due - start));
        }
        return calls.stream().map(CompletableFuture::join).toList();
    }

    private CompletableFuture<CallResult> call(int index, long due, long at) {
        RouteSpec route = plan.routes().get(random.nextInt(plan.routes().size()));
        String workId = plan.name() + "-" + index;
        return http.sendAsync(request(index, workId, route), HttpResponse.BodyHandlers.ofByteArray())
                .handle((answer, failure) -> result(workId, route, answer, at, System.nanoTime() - due));
    }

    private HttpRequest request(int index, String workId, RouteSpec route) {
        URI target = plan.targets().get(index % plan.targets().size());
        double factor = -Math.log(1.0 - random.nextDouble());
        long micros = Math.round(plan.meanWork().toNanos() / 1e3 * factor);
        HttpRequest.Builder builder = HttpRequest.newBuilder(target.resolve(path(route, workId)))
                .timeout(route.deadline().plus(GRACE))
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

    private CallResult result(String workId, RouteSpec route, HttpResponse<byte[]> answer, long at, long latency) {
        if (answer == null) {
            return new CallResult(workId, route, 0, Optional.empty(), Optional.empty(), false, at, latency);
        }
        boolean whole = Arrays.equals(answer.body(), ExpectedAnswer.of(workId, plan.answerBytes()));
        return new CallResult(
                workId,
                route,
                answer.statusCode(),
                answer.headers().firstValue("Coppershelf-Outcome"),
                answer.headers().firstValue("Coppershelf-Error"),
                whole,
                at,
                latency);
    }
}
