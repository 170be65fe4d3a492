package io.coppershelf.bench.overhead;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.coppershelf.bench.fleet.TicketFile;
import io.coppershelf.bench.load.CallResult;
import io.coppershelf.bench.load.ClosedLoop;
import io.coppershelf.bench.load.LatencySummary;
import io.coppershelf.bench.load.LoadGenerator;
import io.coppershelf.bench.load.LoadPlan;
import io.coppershelf.ticket.RouteSpec;
import io.coppershelf.ticket.ServerSpec;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Compares direct calls to backend servers with calls through a daemon, alternating between them in rounds, and
 * measures the rate at which the daemon saturates.
 */
@Command(name = "overhead", description = "Measures the latency that a daemon adds, and where it saturates")
public final class OverheadBench {
    private static final double CALLS_PER_SECOND = 405;
    private static final double TARGET_ADDED_P99_MILLIS = 6.4;
    private static final int ROUNDS = 3;
    private static final int ANSWER_BYTES = 256;
    private static final int SATURATING_CALLERS = 48;
    private static final Duration WARM_UP = Duration.ofSeconds(5);

    @Option(name = "--ticket", description = "The ticket with the servers and routes")
    @Required
    private String ticket = "";

    @Option(name = "--caller", description = "The base address of the daemon for callers")
    @Required
    private String caller = "";

    @Option(name = "--operator", description = "The base address of the daemon for operators")
    @Required
    private String operator = "";

    @Option(name = "--seconds", description = "The length of each round")
    private int seconds = 8;

    @Option(name = "--label", description = "What the row is called")
    private String label = "daemon";

    /** Runs the measurement and prints it. */
    public static void main(String[] args) throws IOException, InterruptedException {
        SingleCommand.singleCommand(OverheadBench.class).parse(args).run();
    }

    private void run() throws IOException, InterruptedException {
        RouteSpec route = idempotentRoute();
        List<URI> servers = serversOf(route);
        List<URI> daemons = List.of(URI.create(caller));
        load("warm-direct", servers, route, WARM_UP);
        load("warm-daemon", daemons, route, WARM_UP);
        List<CallResult> directResults = new ArrayList<>();
        List<CallResult> daemonResults = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            directResults.addAll(load("direct-" + round, servers, route, Duration.ofSeconds(seconds)));
            daemonResults.addAll(load("daemon-" + round, daemons, route, Duration.ofSeconds(seconds)));
        }
        print(LatencySummary.of(directResults), LatencySummary.of(daemonResults));
        System.out.println("failures through the daemon: " + failures(daemonResults));
        measureSaturation(daemons.get(0).resolve(route.path()));
    }

    private void measureSaturation(URI address) throws IOException, InterruptedException {
        Duration duration = Duration.ofSeconds(seconds);
        ResourceUsage before = ResourceUsage.read(URI.create(operator));
        ClosedLoop.Rates rates = ClosedLoop.run(address, SATURATING_CALLERS, duration);
        ResourceUsage after = ResourceUsage.read(URI.create(operator));
        double cores = (after.cpuSeconds() - before.cpuSeconds()) / (duration.toNanos() / 1e9);
        System.out.printf(
                Locale.ROOT,
                "saturation: %.0f answered/s and %.0f failed/s %s with %d callers, %.2f cores, %.1f MB heap in use%n",
                rates.answeredPerSecond(),
                rates.failedPerSecond(),
                rates.failures(),
                SATURATING_CALLERS,
                cores,
                after.heapBytes() / 1e6);
        System.out.printf(
                Locale.ROOT,
                "{\"bench\":\"overhead\",\"row\":\"saturation\",\"label\":\"%s\",\"answeredPerSecond\":%.1f,"
                        + "\"failedPerSecond\":%.1f,\"cores\":%.3f,\"heapBytes\":%.0f}%n",
                label,
                rates.answeredPerSecond(),
                rates.failedPerSecond(),
                cores,
                after.heapBytes());
    }

    private void print(LatencySummary direct, LatencySummary throughDaemon) {
        double added = throughDaemon.p99() - direct.p99();
        System.out.printf(
                Locale.ROOT, "%-24s %7s %7s %9s %9s %9s%n", "path", "calls", "failed", "p50 ms", "p99 ms", "p99.9 ms");
        printRow("direct", direct);
        printRow(label, throughDaemon);
        System.out.printf(
                Locale.ROOT,
                "added at p99: %.2f ms, target %.1f ms: %s%n",
                added,
                TARGET_ADDED_P99_MILLIS,
                added <= TARGET_ADDED_P99_MILLIS ? "met" : "MISSED");
    }

    private static void printRow(String path, LatencySummary summary) {
        System.out.printf(
                Locale.ROOT,
                "%-24s %7d %7d %9.2f %9.2f %9.2f%n",
                path,
                summary.calls(),
                summary.failed(),
                summary.p50(),
                summary.p99(),
                summary.p999());
        System.out.printf(
                Locale.ROOT,
                "{\"bench\":\"overhead\",\"row\":\"%s\",\"calls\":%d,\"failed\":%d,\"p50\":%.3f,\"p99\":%.3f,\"p999\":%.3f}%n",
                path,
                summary.calls(),
                summary.failed(),
                summary.p50(),
                summary.p99(),
                summary.p999());
    }

    private static Map<String, Long> failures(List<CallResult> results) {
        return results.stream()
                .filter(result -> result.status() != 200)
                .collect(Collectors.groupingBy(
                        result -> result.error().orElse("unstated"), TreeMap::new, Collectors.counting()));
    }

    private List<CallResult> load(String name, List<URI> targets, RouteSpec route, Duration duration) {
        return LoadGenerator.run(new LoadPlan(
                label.replace(' ', '-') + "-" + name,
                targets,
                List.of(route),
                CALLS_PER_SECOND,
                duration,
                Duration.ZERO,
                ANSWER_BYTES,
                1));
    }

    private RouteSpec idempotentRoute() throws IOException {
        return TicketFile.read(Path.of(ticket)).routes().stream()
                .filter(RouteSpec::idempotent)
                .findFirst()
                .orElseThrow(() -> new IOException("expected an idempotent route in " + ticket));
    }

    private List<URI> serversOf(RouteSpec route) throws IOException {
        return TicketFile.read(Path.of(ticket)).servers(route.service()).stream()
                .map((ServerSpec server) -> URI.create("http://" + server.host() + ":" + server.port()))
                .toList();
    }
}
