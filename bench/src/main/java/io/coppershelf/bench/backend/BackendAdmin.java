package io.coppershelf.bench.backend;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Client of the admin interface of the backend stand-ins. */
public final class BackendAdmin {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient http = HttpClient.newHttpClient();
    private final URI base;

    /** Returns a client of the admin interface on the given port of 127.0.0.1. */
    public BackendAdmin(int port) {
        base = URI.create("http://127.0.0.1:" + port);
    }

    /** Injects a fault into a server; it replaces the previous fault. */
    public void injectFault(String server, ServerFault fault, String argument)
            throws IOException, InterruptedException {
        post("/fault?server=" + server + "&fault=" + fault.adminName() + "&argument="
                + URLEncoder.encode(argument, StandardCharsets.UTF_8));
    }

    /** Clears the fault of a server. */
    public void clearFault(String server) throws IOException, InterruptedException {
        post("/fault?server=" + server + "&fault=none");
    }

    /** Returns how often each work item was started, by its id. */
    public Map<String, Integer> executions() throws IOException, InterruptedException {
        Map<String, Integer> counts = new HashMap<>();
        read().get("executions").forEachEntry((workId, count) -> counts.put(workId, count.asInt()));
        return counts;
    }

    /** Returns how many work items a server has started. */
    public long startedCount(String server) throws IOException, InterruptedException {
        return read().get("begunByServer").path(server).asLong(0);
    }

    /** Returns how many requests a server has received, whether it ran them or not. */
    public long receivedCount(String server) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(base.resolve("/received?server=" + server))
                .build();
        return Long.parseLong(
                http.send(request, HttpResponse.BodyHandlers.ofString()).body());
    }

    private JsonNode read() throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(base.resolve("/executions")).build();
        return JSON.readTree(
                http.send(request, HttpResponse.BodyHandlers.ofString()).body());
    }

    private void post(String path) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(base.resolve(path))
                .POST(HttpRequest.BodyPublishers.noBody())
                .build();
        HttpResponse<String> answer = http.send(request, HttpResponse.BodyHandlers.ofString());
        if (answer.statusCode() != 200) {
            throw new IOException("backend stand-in refused " + path + ": " + answer.body());
        }
    }
}
