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

/** Queries daemons through their operator ports. */
public final class OperatorClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final int OK = 200;

    private final ObjectMapper mapper = JsonMapper.builder().build();
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();

    /** Fetches a page of one daemon; empty if it can't be read. */
    public Optional<JsonNode> fetch(DaemonAddress daemon, String path) {
        return fetchAsync(daemon, path).join();
    }

    /**
     * Fetches a page of all daemons concurrently; the answers are in the order of the daemons, empty for pages that
     * can't be read.
     */
    public Map<DaemonAddress, Optional<JsonNode>> fetchAll(Collection<DaemonAddress> daemons, String path) {
        Map<DaemonAddress, CompletableFuture<Optional<JsonNode>>> pending = new LinkedHashMap<>();
        daemons.forEach(daemon -> pending.put(daemon, fetchAsync(daemon, path)));
        Map<DaemonAddress, Optional<JsonNode>> answers = new LinkedHashMap<>();
        pending.forEach((daemon, answer) -> answers.put(daemon, answer.join()));
        return answers;
    }

    private CompletableFuture<Optional<JsonNode>> fetchAsync(DaemonAddress daemon, String path) {
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
