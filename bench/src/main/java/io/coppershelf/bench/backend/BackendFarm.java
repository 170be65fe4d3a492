package io.coppershelf.bench.backend;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Splitter;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.coppershelf.ticket.ServerSpec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/** The backend servers of one process and their admin interface. */
public final class BackendFarm {
    private static final int WORKERS = 16;
    private static final int TIMERS = 4;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Map<String, BackendServerStandIn> servers = new TreeMap<>();
    private final ExecutionLog log = new ExecutionLog();
    private final ExecutorService workers = Executors.newFixedThreadPool(WORKERS);
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(TIMERS);
    private final WorkAnswers answers = new WorkAnswers();
    private final HttpServer admin;

    private BackendFarm(HttpServer admin) {
        this.admin = admin;
    }

    /** Starts each server on the address of its specification, and the admin interface on 127.0.0.1. */
    public static BackendFarm start(List<ServerSpec> specs, int adminPort) throws IOException {
        BackendFarm farm = new BackendFarm(HttpServer.create(new InetSocketAddress("127.0.0.1", adminPort), 0));
        for (ServerSpec spec : specs) {
            BackendServerStandIn server = new BackendServerStandIn(spec, farm.log, farm.timers);
            server.start(farm.workers);
            farm.servers.put(spec.name(), server);
        }
        farm.startAdmin();
        return farm;
    }

    /** Returns the number of servers. */
    public int size() {
        return servers.size();
    }

    /** Returns the TCP port of the admin interface. */
    public int adminPort() {
        return admin.getAddress().getPort();
    }

    /** Stops all servers and the admin interface immediately. */
    public void stop() {
        admin.stop(0);
        servers.values().forEach(BackendServerStandIn::stop);
        workers.shutdownNow();
        timers.shutdownNow();
    }

    private void startAdmin() {
        admin.createContext("/fault", this::handleFault);
        admin.createContext("/executions", this::sendExecutions);
        admin.createContext("/received", this::sendReceivedCount);
        admin.setExecutor(workers);
        admin.start();
    }

    private void handleFault(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange);
        String server = query.getOrDefault("server", "");
        String name = query.getOrDefault("fault", "");
        Optional<ServerFault> fault = ServerFault.named(name);
        if (!servers.containsKey(server) || (fault.isEmpty() && !name.equals("none"))) {
            answers.sendText(exchange, 400, "expected a known server and fault but got " + query + "\n");
            return;
        }
        String argument = query.getOrDefault("argument", "");
        servers.get(server).setFault(fault.map(kind -> new ActiveFault(kind, argument, System.currentTimeMillis())));
        answers.sendText(exchange, 200, server + " " + name + "\n");
    }

    private void sendReceivedCount(HttpExchange exchange) throws IOException {
        String server = query(exchange).getOrDefault("server", "");
        answers.sendText(exchange, 200, Long.toString(log.receivedCount(server)));
    }

    private void sendExecutions(HttpExchange exchange) throws IOException {
        ObjectNode root = JSON.createObjectNode();
        root.set("executions", JSON.valueToTree(log.executions()));
        root.set("begunByServer", JSON.valueToTree(log.startedByServer()));
        answers.sendText(exchange, 200, JSON.writeValueAsString(root));
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> values = new HashMap<>();
        String raw = Optional.ofNullable(exchange.getRequestURI().getRawQuery()).orElse("");
        for (String pair : Splitter.on('&').split(raw)) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                values.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return values;
    }
}
