package io.coppershelf.backend.internal;

import io.coppershelf.backend.BackendRequest;
import io.coppershelf.backend.BackendResult.ServerState;
import io.coppershelf.ticket.ServerSpec;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpHeaders;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;

/** The headers and paths of the protocol with backend servers, as specified in docs/protocols/backend.md. */
final class ServerProtocol {
    static final String ATTEMPT_ID = "Coppershelf-Try-Id";
    static final String DEADLINE_MILLIS = "Coppershelf-Deadline-Ms";
    static final String SERVER_STATE = "Coppershelf-Server-State";
    static final String EXECUTION = "Coppershelf-Execution";

    private static final String NOT_STARTED = "not-started";
    private static final String FINISHED = "finished";
    private static final String CANCEL_PATH = "/coppershelf/cancel/";
    private static final String HEALTH_PATH = "/coppershelf/health";

    private ServerProtocol() {}

    /**
     * Returns the HTTP request of an attempt.
     *
     * @throws IllegalArgumentException if the target or a header can't be sent
     */
    static HttpRequest attemptRequest(BackendRequest request, long remainingMillis) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(uri(request.server(), request.target()));
        request.headers().forEach(header -> builder.header(header.name(), header.value()));
        boolean isEmpty = request.body().length == 0;
        return builder.method(
                        request.method(),
                        isEmpty ? BodyPublishers.noBody() : BodyPublishers.ofByteArray(request.body()))
                .setHeader(ATTEMPT_ID, request.attemptId())
                .setHeader(DEADLINE_MILLIS, Long.toString(remainingMillis))
                .build();
    }

    static HttpRequest cancelRequest(BackendRequest request, Duration timeout) {
        String path = CANCEL_PATH + URLEncoder.encode(request.attemptId(), StandardCharsets.UTF_8);
        return HttpRequest.newBuilder(uri(request.server(), path))
                .POST(BodyPublishers.noBody())
                .setHeader(ATTEMPT_ID, request.attemptId())
                .timeout(timeout)
                .build();
    }

    static HttpRequest probeRequest(ServerSpec server, Duration timeout) {
        return HttpRequest.newBuilder(uri(server, HEALTH_PATH))
                .GET()
                .timeout(timeout)
                .build();
    }

    static boolean belongsTo(HttpHeaders answer, String attemptId) {
        return answer.allValues(ATTEMPT_ID).size() == 1
                && answer.firstValue(ATTEMPT_ID).orElseThrow().equals(attemptId);
    }

    static boolean isNotStarted(HttpHeaders answer) {
        return hasExecution(answer, NOT_STARTED);
    }

    static boolean isFinished(HttpHeaders answer) {
        return hasExecution(answer, FINISHED);
    }

    private static boolean hasExecution(HttpHeaders answer, String value) {
        return answer.firstValue(EXECUTION)
                .filter(stated -> stated.equalsIgnoreCase(value))
                .isPresent();
    }

    static ServerState state(HttpHeaders answer) {
        String stated = answer.firstValue(SERVER_STATE).orElse("").toLowerCase(Locale.ROOT);
        return switch (stated) {
            case "ready" -> ServerState.READY;
            case "cold" -> ServerState.COLD;
            case "draining" -> ServerState.DRAINING;
            case "shedding" -> ServerState.SHEDDING;
            default -> ServerState.UNSTATED;
        };
    }

    private static URI uri(ServerSpec server, String target) {
        String host = server.host().contains(":") ? "[" + server.host() + "]" : server.host();
        return URI.create("http://" + host + ":" + server.port() + target);
    }
}
