package io.coppershelf.bench.demo;

import io.coppershelf.bench.backend.BackendAdmin;
import io.coppershelf.bench.backend.ServerFault;
import io.coppershelf.bench.fleet.DaemonStatus;
import io.coppershelf.bench.fleet.PlatformControl;
import io.coppershelf.bench.fleet.TicketEdits;
import io.coppershelf.bench.fleet.TicketFile;
import io.coppershelf.bench.load.CallResult;
import io.coppershelf.bench.load.ConsistencyReport;
import io.coppershelf.bench.load.LoadGenerator;
import io.coppershelf.bench.load.LoadPlan;
import io.coppershelf.ticket.RouteSpec;
import io.coppershelf.ticket.ServerSpec;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** The steps of the demonstration; each prints its results and returns whether the promises were kept. */
final class Demonstration {
    private static final Duration TICKET_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration DRAIN_TIME = Duration.ofSeconds(3);
    private static final Duration LOAD_DURATION = Duration.ofSeconds(7);
    private static final Duration LOAD_BEFORE_EVENT = Duration.ofMillis(1500);
    private static final Duration MEAN_WORK = Duration.ofMillis(20);
    private static final double CALLS_PER_SECOND = 80;
    private static final int ANSWER_BYTES = 512;

    private final TicketFile ticket;
    private final List<URI> callers;
    private final DaemonStatus status;
    private final PlatformControl platform;
    private final BackendAdmin backends;

    Demonstration(
            TicketFile ticket,
            List<URI> callers,
            DaemonStatus status,
            PlatformControl platform,
            BackendAdmin backends) {
        this.ticket = ticket;
        this.callers = callers;
        this.status = status;
        this.platform = platform;
        this.backends = backends;
    }

    /** Runs all steps and returns whether the promises were kept in each. */
    boolean run() throws IOException, InterruptedException {
        boolean served = serveEveryKind();
        boolean drained = drainUnderLoad();
        boolean consistent = stallUnderLoad();
        return served && drained && consistent;
    }

    private boolean serveEveryKind() throws IOException, InterruptedException {
        System.out.println("== Every request kind, through every daemon");
        boolean allServed = true;
        for (RouteSpec route : ticket.routes()) {
            List<CallResult> results = load(
                    "kind-" + route.name().replace('/', '-'), List.of(route), callers.size(), Duration.ofSeconds(1));
            long served = results.stream().filter(CallResult::isInTime).count();
            allServed &= served == results.size();
            System.out.printf(
                    Locale.ROOT,
                    "%-28s %-5s %-32s %d of %d in time%n",
                    route.name(),
                    route.method(),
                    route.path(),
                    served,
                    results.size());
        }
        return allServed;
    }

    private boolean drainUnderLoad() throws IOException, InterruptedException {
        ServerSpec server = ticket.servers().get(0);
        System.out.println("== Ticket " + (ticket.number() + 1) + " drains " + server.name() + " under load");
        CompletableFuture<List<CallResult>> calls = loadInBackground("drain", server.service());
        Thread.sleep(LOAD_BEFORE_EVENT.toMillis());
        long publishedAtNanos = System.nanoTime();
        platform.publish(TicketEdits.drain(ticket.number() + 1, server));
        Map<URI, Duration> times = status.awaitTicket(ticket.number() + 1, publishedAtNanos, TICKET_TIMEOUT);
        times.forEach((daemon, time) ->
                System.out.printf(Locale.ROOT, "in force at %s after %d ms%n", daemon.getAuthority(), time.toMillis()));
        Duration sincePublished = Duration.ofNanos(System.nanoTime() - publishedAtNanos);
        Thread.sleep(Math.max(0, DRAIN_TIME.minus(sincePublished).toMillis()));
        long startedWhenDrained = backends.startedCount(server.name());
        boolean areCallsServed = printAndCheck(calls.join());
        long startedLater = backends.startedCount(server.name()) - startedWhenDrained;
        System.out.println("new work at " + server.name() + " more than 3 s after the ticket: " + startedLater);
        return areCallsServed && startedLater == 0;
    }

    private boolean stallUnderLoad() throws IOException, InterruptedException {
        ServerSpec server = ticket.servers().get(1);
        System.out.println("== " + server.name() + " stalls under load while its probes are answered");
        CompletableFuture<List<CallResult>> calls = loadInBackground("stall", server.service());
        Thread.sleep(LOAD_BEFORE_EVENT.toMillis());
        backends.injectFault(server.name(), ServerFault.STALL, "");
        List<CallResult> results = calls.join();
        backends.clearFault(server.name());
        ConsistencyReport report = report(results);
        print(report);
        return report.isConsistent();
    }

    private boolean printAndCheck(List<CallResult> results) throws IOException, InterruptedException {
        ConsistencyReport report = report(results);
        print(report);
        return report.isConsistent() && report.inTimeShare() == 1.0;
    }

    private ConsistencyReport report(List<CallResult> results) throws IOException, InterruptedException {
        return ConsistencyReport.of(results, backends.executions());
    }

    private static void print(ConsistencyReport report) {
        System.out.printf(
                Locale.ROOT,
                "%d calls, %.2f%% in time by weight, executed twice %d, not run yet run %d, foreign or partial %d,"
                        + " unanswered %d%n",
                report.calls(),
                100 * report.inTimeShare(),
                report.executedTwice(),
                report.notRunYetRun(),
                report.foreignOrPartial(),
                report.unanswered());
    }

    private CompletableFuture<List<CallResult>> loadInBackground(String name, String service) {
        return CompletableFuture.supplyAsync(() -> load(name, ticket.routes(service), CALLS_PER_SECOND, LOAD_DURATION));
    }

    private List<CallResult> load(String name, List<RouteSpec> routes, double callsPerSecond, Duration duration) {
        return LoadGenerator.run(new LoadPlan(
                name, callers, routes, callsPerSecond, duration, MEAN_WORK, ANSWER_BYTES, name.hashCode()));
    }
}
