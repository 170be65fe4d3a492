package io.coppershelf.operator.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Splitter;
import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.coppershelf.operator.HybridClock;
import io.coppershelf.operator.TimelineDocument;
import io.prometheus.metrics.config.EscapingScheme;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** The HTTP server for operators; all its endpoints are read-only. */
public final class OperatorServer {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int THREADS = 4;
    private static final int MAX_TIMELINE_EVENTS = 5000;
    private static final String NO_SUCH_ADDRESS =
            "no such address; see /health, /ready, /status, /ticket, /fleet, /metrics, /timeline\n";
    private static final String JSON = "application/json";
    private static final String TEXT = "text/plain; charset=utf-8";

    private final String vm;
    private final StatusPages pages;
    private final DefaultOperatorRegistry registry;
    private final TimelineBuffer timeline;
    private final HybridClock clock;
    private final PrometheusTextFormatWriter metricsWriter = PrometheusTextFormatWriter.create();
    private final ExecutorService executor = Executors.newFixedThreadPool(
            THREADS,
            new ThreadFactoryBuilder()
                    .setNameFormat("operator-%d")
                    .setDaemon(true)
                    .build());
    private final HttpServer server;

    /**
     * Binds the port; {@link #start} begins to serve requests.
     *
     * @throws IOException if the address can't be bound
     */
    public OperatorServer(
            InetSocketAddress address,
            String vm,
            StatusPages pages,
            DefaultOperatorRegistry registry,
            TimelineBuffer timeline,
            HybridClock clock)
            throws IOException {
        this.vm = vm;
        this.pages = pages;
        this.registry = registry;
        this.timeline = timeline;
        this.clock = clock;
        System.setProperty("sun.net.httpserver.nodelay", "true");
        this.server = HttpServer.create(address, 0);
    }

    /** Begins to serve requests. */
    public void start() {
        server.createContext("/", this::handle);
        server.setExecutor(executor);
        server.start();
    }

    /** Returns the port. */
    public int port() {
        return server.getAddress().getPort();
    }

    /** Stops at once. */
    public void stop() {
        server.stop(0);
        executor.shutdownNow();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            Answer answer = answer(exchange);
            exchange.getResponseHeaders().set("Content-Type", answer.contentType());
            exchange.sendResponseHeaders(answer.status(), answer.body().length);
            exchange.getResponseBody().write(answer.body());
        } catch (RuntimeException e) {
            logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).withCause(e).log("[operator] A request failed.");
            throw e;
        }
    }

    private Answer answer(HttpExchange exchange) throws IOException {
        if (!exchange.getRequestMethod().equals("GET")) {
            return Answer.text(405, "only GET is allowed\n");
        }
        return switch (exchange.getRequestURI().getPath()) {
            case "/health" -> Answer.text(200, "live\n");
            case "/ready" -> ready();
            case "/status" -> Answer.json(200, pages.status(parameter(exchange, "service")));
            case "/ticket" -> Answer.json(200, pages.ticket());
            case "/fleet" -> Answer.json(200, pages.fleet());
            case "/metrics" -> metrics();
            case "/timeline" -> timeline(exchange);
            default -> Answer.text(404, NO_SUCH_ADDRESS);
        };
    }

    private Answer ready() {
        List<String> unmet = registry.unmetConditions();
        return unmet.isEmpty()
                ? Answer.text(200, "ready\n")
                : Answer.text(503, "not ready: " + String.join(", ", unmet) + "\n");
    }

    private Answer metrics() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        metricsWriter.write(out, registry.metrics().scrape(), EscapingScheme.UNDERSCORE_ESCAPING);
        return new Answer(200, metricsWriter.getContentType(), out.toByteArray());
    }

    private Answer timeline(HttpExchange exchange) {
        long after;
        try {
            after = parameter(exchange, "after").map(TimelineDocument::parse).orElse(0L);
        } catch (NumberFormatException e) {
            return Answer.text(400, "after must be a stamp of at most 16 hexadecimal digits\n");
        }
        TimelineDocument document = new TimelineDocument(
                vm, clock.stamp(), timeline.overwritten(), timeline.after(after, MAX_TIMELINE_EVENTS));
        return Answer.json(200, document.toJson());
    }

    private static Optional<String> parameter(HttpExchange exchange, String key) {
        String query =
                Optional.ofNullable(exchange.getRequestURI().getRawQuery()).orElse("");
        return Splitter.on('&')
                .splitToStream(query)
                .filter(pair -> pair.startsWith(key + "="))
                .map(pair -> pair.substring(key.length() + 1))
                .findFirst();
    }

    private record Answer(int status, String contentType, byte[] body) {
        static Answer text(int status, String text) {
            return new Answer(status, TEXT, text.getBytes(StandardCharsets.UTF_8));
        }

        static Answer json(int status, JsonNode document) {
            return new Answer(status, JSON, document.toString().getBytes(StandardCharsets.UTF_8));
        }
    }
}
