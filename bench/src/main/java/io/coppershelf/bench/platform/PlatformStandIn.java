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
 * A stand-in for the platform's service. Publishing and faults go through its methods, or over HTTP under
 * {@code /control}.
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
    private static final long LONGEST_WAIT_MILLIS = 60_000;
    private static final long SLOW_MILLIS = 2_000;
    private static final int OVERSIZED_BYTES = 3_000_000;
    private static final int GARBAGE_BYTES = 500;

    private final HttpServer server;
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private Replica published = Replica.empty();
    private Replica frozen = Replica.empty();
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

    /** Returns the address for the settings of daemons. */
    public URI address() {
        InetSocketAddress bound = server.getAddress();
        return URI.create("http://" + bound.getAddress().getHostAddress() + ":" + bound.getPort());
    }

    /** Publishes a ticket, valid or not. */
    public synchronized void publishTicket(String document) {
        published = published.withTicket(document);
        notifyAll();
    }

    /** Publishes a list of VMs. */
    public void setVms(List<Vm> vms) {
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
        setVms(list);
    }

    /** Publishes a list of VMs in its JSON form. */
    public synchronized void setVms(JsonNode list) {
        published = published.withVms(list);
        notifyAll();
    }

    /** Switches a fault on, or all off. */
    public synchronized void setFault(PlatformFault newFault) {
        fault = newFault;
        frozen = newFault == PlatformFault.ROLLED_BACK ? published.rolledBack() : published;
        notifyAll();
    }

    /** Returns the number of calls so far, a waiting watch as one. */
    public synchronized long calls() {
        return calls;
    }

    /** Returns the number of watches that wait now. */
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
                case "/tickets" -> watch(exchange, true, Replica::hasTicketsFor, Replica::ticketsAfter);
                case "/vms" -> watch(exchange, false, Replica::hasVmsFor, (replica, known) -> replica.vmsAnswer());
                case "/control/tickets" -> {
                    publishTicket(body(exchange));
                    answer(exchange, OK, "published\n");
                }
                case "/control/vms" -> {
                    setVms(JsonMapper.builder().build().readTree(body(exchange)).path("vms"));
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

    private void watch(HttpExchange exchange, boolean isOfTickets, Change change, Answer answer)
            throws IOException, InterruptedException {
        long after;
        long waitMillis;
        try {
            after = parameter(exchange, "after");
            waitMillis = Math.min(parameter(exchange, "wait"), LONGEST_WAIT_MILLIS);
        } catch (NumberFormatException e) {
            answer(exchange, BAD_REQUEST, "after and wait must be numbers\n");
            return;
        }
        Served served = await(replica -> change.isFor(replica, after), waitMillis, isOfTickets);
        send(exchange, served, replica -> answer.of(replica, after).toString());
    }

    private synchronized Served await(Predicate<Replica> condition, long waitMillis, boolean isOfTickets)
            throws InterruptedException {
        calls++;
        waiting++;
        long end = System.nanoTime() + waitMillis * 1_000_000;
        try {
            long left = waitMillis;
            while (left > 0 && isWaiting(condition)) {
                wait(left);
                left = (end - System.nanoTime()) / 1_000_000;
            }
            Served answer = new Served(served(), fault);
            if (fault == PlatformFault.DOWN_AFTER_READER && isOfTickets && condition.test(published)) {
                setFault(PlatformFault.DOWN);
            }
            return answer;
        } finally {
            waiting--;
        }
    }

    private boolean isWaiting(Predicate<Replica> condition) {
        boolean isServing = fault == PlatformFault.NONE
                || fault == PlatformFault.STALE
                || fault == PlatformFault.ROLLED_BACK
                || fault == PlatformFault.DOWN_AFTER_READER
                || fault == PlatformFault.SLOW;
        return isServing && !condition.test(served());
    }

    private Replica served() {
        return fault == PlatformFault.STALE || fault == PlatformFault.ROLLED_BACK ? frozen : published;
    }

    private void send(HttpExchange exchange, Served served, Function<Replica, String> text)
            throws IOException, InterruptedException {
        switch (served.fault()) {
            case DOWN -> {}
            case GARBAGE -> answer(exchange, OK, "\u0000{garbage".repeat(GARBAGE_BYTES));
            case OVERSIZED -> answer(exchange, OK, " ".repeat(OVERSIZED_BYTES));
            case TRUNCATED -> truncate(exchange, text.apply(served.replica()));
            case SLOW -> {
                Thread.sleep(SLOW_MILLIS);
                answer(exchange, OK, text.apply(served.replica()));
            }
            case NONE, DOWN_AFTER_READER, STALE, ROLLED_BACK -> answer(exchange, OK, text.apply(served.replica()));
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

    /** What a call is answered from, and the fault that befalls it. */
    private record Served(Replica replica, PlatformFault fault) {}

    /** Whether a replica has something to say to a watch. */
    private interface Change {
        boolean isFor(Replica replica, long known);
    }

    /** What a replica says to a watch. */
    private interface Answer {
        JsonNode of(Replica replica, long known);
    }
}
