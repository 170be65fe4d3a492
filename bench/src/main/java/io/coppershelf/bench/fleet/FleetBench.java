package io.coppershelf.bench.fleet;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.coppershelf.bench.backend.BackendAdmin;
import io.coppershelf.bench.load.CallResult;
import io.coppershelf.bench.load.ConsistencyReport;
import io.coppershelf.bench.load.LoadGenerator;
import io.coppershelf.bench.load.LoadPlan;
import io.coppershelf.ticket.ServerSpec;
import io.coppershelf.ticket.ServiceSpec;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Loads the services of a customer on a running fleet to a share of their slots, injects one fault and prints one row.
 */
@Command(name = "fleet", description = "Measures one fault on a running fleet")
public final class FleetBench {
    private static final Duration WARM_UP = Duration.ofSeconds(25);
    private static final int ANSWER_BYTES = 512;

    @Option(name = "--customer", description = "The name of the customer, for the row")
    private String customer = "";

    @Option(name = "--ticket", description = "The first ticket")
    @Required
    private String ticket = "";

    @Option(name = "--callers", description = "The addresses of the daemons for callers, with commas")
    @Required
    private String callers = "";

    @Option(name = "--operators", description = "The addresses of the daemons for operators, with commas")
    @Required
    private String operators = "";

    @Option(name = "--backend-admin-port", description = "The admin port of the backend stand-ins")
    @Required
    private int backendAdminPort;

    @Option(name = "--fault", description = "The fault")
    private String fault = "none";

    @Option(name = "--vm-fault", description = "The fault that the script does to a VM, for the row")
    private String vmFault = "none";

    @Option(name = "--load", description = "The load in percent of the slots")
    private int load = 40;

    @Option(name = "--seconds", description = "How long the fault lasts")
    private int seconds = 15;

    @Option(name = "--work-millis", description = "The mean service time in milliseconds")
    private int workMillis = 150;

    /** Runs the measurement; exits with status 1 if a promise was broken. */
    public static void main(String[] args) throws Exception {
        FleetBench bench = SingleCommand.singleCommand(FleetBench.class).parse(args);
        System.exit(bench.run() ? 0 : 1);
    }

    private boolean run() throws Exception {
        FleetFault injectedFault = FleetFault.withLabel(fault)
                .orElseThrow(() -> new IllegalArgumentException("expected a known fault but got \"" + fault + "\""));
        TicketFile ticketFile = TicketFile.read(Path.of(ticket));
        BackendAdmin backends = new BackendAdmin(backendAdminPort);
        ServiceSpec service = ticketFile.services().get(1);
        ServerSpec faultyServer = ticketFile.servers(service.name()).get(0);
        List<CompletableFuture<List<CallResult>>> calls = startLoad(ticketFile);
        Thread.sleep(WARM_UP.toMillis());
        long onsetMillis = System.currentTimeMillis();
        injectedFault.injectInto(backends, faultyServer.name());
        ArrivalLog arrivals = new ArrivalLog(backends, faultyServer.name());
        arrivals.sample(Duration.ofSeconds(seconds));
        backends.clearFault(faultyServer.name());
        FleetRow.Reports reports = reports(calls, backends, service);
        EjectionLog ejections = EjectionLog.read(AddressList.parse(operators));
        FleetRow row = new FleetRow(
                customer,
                injectedFault.label(),
                vmFault,
                load,
                injectedFault.makesServerUnhealthy() ? arrivals.workEndedAfter() : Optional.empty(),
                injectedFault.makesServerUnhealthy(),
                injectedFault.makesServerUnhealthy()
                        ? ejections.suspectedAfter(faultyServer.name(), onsetMillis)
                        : Optional.empty(),
                reports,
                ejections,
                faultyServer.name(),
                WARM_UP.plusSeconds(seconds),
                ticketFile);
        row.print();
        return row.areGuaranteesKept();
    }

    private FleetRow.Reports reports(
            List<CompletableFuture<List<CallResult>>> calls, BackendAdmin backends, ServiceSpec service)
            throws Exception {
        List<CallResult> all = new ArrayList<>();
        for (CompletableFuture<List<CallResult>> serviceCalls : calls) {
            all.addAll(serviceCalls.join());
        }
        List<CallResult> afterFault =
                all.stream().filter(call -> call.atNanos() >= WARM_UP.toNanos()).toList();
        List<CallResult> ofService = afterFault.stream()
                .filter(call -> call.route().service().equals(service.name()))
                .toList();
        var executions = backends.executions();
        return new FleetRow.Reports(
                ConsistencyReport.of(all, executions),
                ConsistencyReport.of(afterFault, executions),
                ConsistencyReport.of(ofService, executions),
                RefusalSummary.of(afterFault));
    }

    private List<CompletableFuture<List<CallResult>>> startLoad(TicketFile ticketFile) {
        return ticketFile.services().stream()
                .map(service -> plan(ticketFile, service))
                .map(plan -> CompletableFuture.supplyAsync(
                        () -> LoadGenerator.run(plan), task -> new Thread(task, "load").start()))
                .toList();
    }

    private LoadPlan plan(TicketFile ticketFile, ServiceSpec service) {
        int slots = ticketFile.servers(service.name()).stream()
                .mapToInt(ServerSpec::slots)
                .sum();
        double callsPerSecond = slots * 1000.0 / workMillis * load / 100;
        return new LoadPlan(
                service.name(),
                AddressList.parse(callers),
                ticketFile.routes(service.name()),
                callsPerSecond,
                WARM_UP.plusSeconds(seconds),
                Duration.ofMillis(workMillis),
                ANSWER_BYTES,
                service.name().hashCode());
    }
}
