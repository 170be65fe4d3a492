package io.coppershelf.bench.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.coppershelf.membership.Vm;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * A stand-in for the platform's HTTP service. Tickets, VM lists and faults are set through its methods, or over HTTP
 * under {@code /control}. A watch is a read of {@code /tickets} or {@code /vms} that waits until there is an update.
 *
 * <pre>{@code
 * try (PlatformStandIn platform = PlatformStandIn.start("127.0.0.1", 0)) {
 *     platform.publishTicket(text);
 *     platform.setFault(PlatformFault.DOWN);
 * }
 * }</pre>
 */
public final class PlatformStandIn implements AutoCloseable {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final long MAX_WAIT_MILLIS = 60_000;
    private static final long SLOW_MILLIS = 2_000;
    private static final int OVERSIZED_BYTES = 3_000_000;
    private static final int GARBAGE_REPEATS = 500;

    private final HttpServer server;
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private PublishedState published = PublishedState.empty();
    private PublishedState frozen = PublishedState.empty();
    private PlatformFault fault = PlatformFault.NONE;
    private long calls;
    private int waiting;

    private PlatformStandIn(HttpServer server) {
        this.server = server;
    }

    /**
     * Starts a stand-in.
     *
     * @param host the IP number on which it listens
     * @param port the port, 0 for any
     * @throws IOException if the port can't be bound
     */
    public static PlatformStandIn start(String host, int port) throws IOException {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        HttpServer server = HttpServer.create(new InetSocketAddress(host, port), 0);
        PlatformStandIn standIn = new PlatformStandIn(server);
        server.createContext("/", standIn::handle);
        server.setExecutor(standIn.executor);
        server.start();
        return standIn;
    }

    /** Returns the base URI, as the settings of daemons need it. */
    public URI address() {
        InetSocketAddress bound = server.getAddress();
        return URI.create("http://" + bound.getAddress().getHostAddress() + ":" + bound.getPort());
    }

    /** Publishes a ticket, which may be invalid. */
    public synchronized void publishTicket(String document) {
        published = published.withTicket(document);
        notifyAll();
    }

    /** Publishes a VM list. */
    public void publishVms(List<Vm> vms) {
        ArrayNode list = JsonNodeFactory.instance.arrayNode();
        for (Vm vm : vms) {
            list.addObject()
                    .put("id", vm.id())
                    .put("incarnation", vm.incarnation())
                    .put("dataCentre", vm.dataCentre())
                    .put("host", vm.host())
                    .put("peerPort", vm.peerPort())
                    .put("operatorPort", vm.operatorPort())
                    .put("leaving", vm.leaving());
        }
        publishVms(list);
    }

    /** Publishes a VM list in its JSON form, which may be invalid. */
    public synchronized void publishVms(JsonNode list) {
        published = published.withVms(list);
        notifyAll();
    }

    /** Sets the fault, which replaces the previous one; {@link PlatformFault#NONE} clears it. */
    public synchronized void setFault(PlatformFault newFault) {
        fault = newFault;
        frozen = newFault == PlatformFault.ROLLED_BACK ? published.rolledBack() : published;
        notifyAll();
    }

    /** Returns the number of calls so far; a waiting watch counts as one call. */
    public synchronized long calls() {
        return calls;
    }

    /** Returns the number of watches that are waiting for an update. */
    public synchronized int waiting() {
        return waiting;
    }

    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            switch (exchange.getRequestURI().getPath()) {
                case "/tickets" -> watch(exchange, true, PublishedState::hasTicketsFor, PublishedState::ticketsAfter);
                case "/vms" -> watch(exchange, false, PublishedState::hasVmsFor, (state, after) -> state.vmsAnswer());
                case "/control/tickets" -> {
                    publishTicket(body(exchange));
                    answer(exchange, OK, "published\n");
                }
                case "/control/vms" -> {
                    publishVms(JsonMapper.builder()
                            .build()
                            .readTree(body(exchange))
                            .path("vms"));
                    answer(exchange, OK, "published\n");
                }
                case "/control/fault" -> controlFault(exchange);
                case "/control/calls" ->
                    answer(exchange, OK, "{\"calls\":" + calls() + ",\"waiting\":" + waiting() + "}\n");
                default -> answer(exchange, NOT_FOUND, "no such address\n");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void controlFault(HttpExchange exchange) throws IOException {
        String kind = body(exchange).strip().toUpperCase(Locale.ROOT).replace('-', '_');
        try {
            setFault(PlatformFault.valueOf(kind));
            answer(exchange, OK, "switched\n");
        } catch (IllegalArgumentException e) {
            answer(exchange, BAD_REQUEST, "no such fault\n");
        }
    }

    private void watch(HttpExchange exchange, boolean isTicketWatch, UpdateCheck updateCheck, Answer answer)
            throws IOException, InterruptedException {
        long after;
        long waitMillis;
        try {
            after = parameter(exchange, "after");
            waitMillis = Math.min(parameter(exchange, "wait"), MAX_WAIT_MILLIS);
        } catch (NumberFormatException e) {
            answer(exchange, BAD_REQUEST, "after and wait must be numbers\n");
            return;
        }
        Served served = await(state -> updateCheck.hasUpdate(state, after), waitMillis, isTicketWatch);
        send(exchange, served, state -> answer.of(state, after).toString());
    }

    private synchronized Served await(Predicate<PublishedState> condition, long waitMillis, boolean isTicketWatch)
            throws InterruptedException {
        calls++;
        waiting++;
        long endNanos = System.nanoTime() + waitMillis * 1_000_000;
        try {
            long remainingMillis = waitMillis;
            while (remainingMillis > 0 && mustWait(condition)) {
                wait(remainingMillis);
                remainingMillis = (endNanos - System.nanoTime()) / 1_000_000;
            }
            Served result = new Served(served(), fault);
            if (fault == PlatformFault.DOWN_AFTER_READER && isTicketWatch && condition.test(published)) {
                setFault(PlatformFault.DOWN);
            }
            return result;
        } finally {
            waiting--;
        }
    }

    private boolean mustWait(Predicate<PublishedState> condition) {
        boolean isServing = fault == PlatformFault.NONE
                || fault == PlatformFault.STALE
                || fault == PlatformFault.ROLLED_BACK
                || fault == PlatformFault.DOWN_AFTER_READER
                || fault == PlatformFault.SLOW;
        return isServing && !condition.test(served());
    }

    private PublishedState served() {
        return fault == PlatformFault.STALE || fault == PlatformFault.ROLLED_BACK ? frozen : published;
    }

    private void send(HttpExchange exchange, Served served, Function<PublishedState, String> text)
            throws IOException, InterruptedException {
        switch (served.fault()) {
            case DOWN -> {}
            case GARBAGE -> answer(exchange, OK, "\u0000{garbage".repeat(GARBAGE_REPEATS));
            case OVERSIZED -> answer(exchange, OK, " ".repeat(OVERSIZED_BYTES));
            case TRUNCATED -> truncate(exchange, text.apply(served.state()));
            case SLOW -> {
                Thread.sleep(SLOW_MILLIS);
                answer(exchange, OK, text.apply(served.state()));
            }
            case NONE, DOWN_AFTER_READER, STALE, ROLLED_BACK -> answer(exchange, OK, text.apply(served.state()));
        }
    }

    private static void truncate(HttpExchange exchange, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(OK, bytes.length);
        exchange.getResponseBody().write(bytes, 0, bytes.length / 2);
        exchange.getResponseBody().flush();
    }

    private static void answer(HttpExchange exchange, int status, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    private static String body(HttpExchange exchange) throws IOException {
        return new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    }

    private static long parameter(HttpExchange exchange, String key) {
        String query = exchange.getRequestURI().getRawQuery();
        for (String pair : query == null ? new String[0] : query.split("&")) {
            if (pair.startsWith(key + "=")) {
                return Long.parseLong(pair.substring(key.length() + 1));
            }
        }
        return 0;
    }

    /** The state from which a call is answered and the fault that applies to the answer. */
    private record Served(PublishedState state, PlatformFault fault) {}

    /** Checks whether a state has an update for a watch. */
    private interface UpdateCheck {
        boolean hasUpdate(PublishedState state, long after);
    }

    /** Builds the answer of a state to a watch. */
    private interface Answer {
        JsonNode of(PublishedState state, long after);
    }
}
