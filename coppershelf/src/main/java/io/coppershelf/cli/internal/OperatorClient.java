package io.coppershelf.cli.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Asks daemons over their operator ports. */
public final class OperatorClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final int OK = 200;

    private final ObjectMapper mapper = JsonMapper.builder().build();
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();

    /** Returns the page of one daemon, empty if it gives none. */
    public Optional<JsonNode> fetch(DaemonAddress daemon, String path) {
        return askAsync(daemon, path).join();
    }

    /** Asks all daemons at once; the answers stand in the order of the daemons, empty for those that give none. */
    public Map<DaemonAddress, Optional<JsonNode>> fetchAll(Collection<DaemonAddress> daemons, String path) {
        Map<DaemonAddress, CompletableFuture<Optional<JsonNode>>> asked = new LinkedHashMap<>();
        daemons.forEach(daemon -> asked.put(daemon, askAsync(daemon, path)));
        Map<DaemonAddress, Optional<JsonNode>> answers = new LinkedHashMap<>();
        asked.forEach((daemon, answer) -> answers.put(daemon, answer.join()));
        return answers;
    }

    private CompletableFuture<Optional<JsonNode>> askAsync(DaemonAddress daemon, String path) {
        HttpRequest request =
                HttpRequest.newBuilder(daemon.page(path)).timeout(TIMEOUT).build();
        return client.sendAsync(request, BodyHandlers.ofString())
                .thenApply(this::read)
                .exceptionally(failure -> Optional.empty());
    }

    private Optional<JsonNode> read(HttpResponse<String> answer) {
        if (answer.statusCode() != OK) {
            return Optional.empty();
        }
        try {
            return Optional.of(mapper.readTree(answer.body())).filter(JsonNode::isObject);
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }
}
