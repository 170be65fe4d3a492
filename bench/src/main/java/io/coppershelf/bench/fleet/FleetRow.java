package io.coppershelf.bench.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coppershelf.bench.load.ConsistencyReport;
import io.coppershelf.ticket.ServiceSpec;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** One row of the fleet measurement, printed as text and as a JSON line. */
final class FleetRow {
    private static final double MILLIS_PER_HOUR = 3_600_000.0;

    private final String customer;
    private final String fault;
    private final String vmFault;
    private final int load;
    private final Optional<Duration> workEndedAfter;
    private final boolean isServerUnhealthy;
    private final Optional<Duration> suspectedAfter;
    private final Reports reports;
    private final EjectionLog ejections;
    private final String faultyServer;
    private final Duration observedDuration;
    private final TicketFile ticketFile;

    FleetRow(
            String customer,
            String fault,
            String vmFault,
            int load,
            Optional<Duration> workEndedAfter,
            boolean isServerUnhealthy,
            Optional<Duration> suspectedAfter,
            Reports reports,
            EjectionLog ejections,
            String faultyServer,
            Duration observedDuration,
            TicketFile ticketFile) {
        this.customer = customer;
        this.fault = fault;
        this.vmFault = vmFault;
        this.load = load;
        this.workEndedAfter = workEndedAfter;
        this.isServerUnhealthy = isServerUnhealthy;
        this.suspectedAfter = suspectedAfter;
        this.reports = reports;
        this.ejections = ejections;
        this.faultyServer = faultyServer;
        this.observedDuration = observedDuration;
        this.ticketFile = ticketFile;
    }

    /**
     * Summaries of the outcomes that callers received, over parts of the run.
     *
     * @param whole the whole run
     * @param afterFault the run from the onset of the fault
     * @param ofService the run from the onset of the fault, for the service of the faulty server
     * @param refusals the errors from the onset of the fault
     */
    record Reports(
            ConsistencyReport whole,
            ConsistencyReport afterFault,
            ConsistencyReport ofService,
            RefusalSummary refusals) {}

    /** Returns whether every promise was kept in the run. */
    boolean areGuaranteesKept() {
        return reports.whole().isConsistent() && servicesBelowFloor().isEmpty();
    }

    void print() {
        System.out.printf(
                Locale.ROOT,
                "%s fault=%s vm-fault=%s load=%d%%: detection %s, false ejections %.2f per server-hour, in time %.2f%%"
                        + " (service of the faulty server %.2f%%), refusals p50 %.1f ms p99 %.1f ms, errors %s%n",
                customer,
                fault,
                vmFault,
                load,
                detection(),
                falseEjectionsPerServerHour(),
                100 * reports.afterFault().inTimeShare(),
                100 * reports.ofService().inTimeShare(),
                reports.refusals().refusalP50Millis(),
                reports.refusals().refusalP99Millis(),
                reports.refusals().byError());
        System.out.printf(
                Locale.ROOT,
                "%d calls, executed twice %d, not run yet run %d, answered yet not run %d, foreign or partial %d,"
                        + " unanswered %d, services below their floor %s%n",
                reports.whole().calls(),
                reports.whole().executedTwice(),
                reports.whole().notRunYetRun(),
                reports.whole().answeredYetNotRun(),
                reports.whole().foreignOrPartial(),
                reports.whole().unanswered(),
                servicesBelowFloor());
        System.out.println(json());
    }

    private String detection() {
        if (!isServerUnhealthy) {
            return "-";
        }
        return "suspected after " + millis(suspectedAfter) + ", no work beyond a trickle after "
                + millis(workEndedAfter);
    }

    private static String millis(Optional<Duration> duration) {
        return duration.map(value -> value.toMillis() + " ms").orElse("NEVER");
    }

    private double falseEjectionsPerServerHour() {
        long count = ejections.ejectionsExcept(isServerUnhealthy ? List.of(faultyServer) : List.of());
        return count / (ticketFile.servers().size() * observedDuration.toMillis() / MILLIS_PER_HOUR);
    }

    private List<String> servicesBelowFloor() {
        Map<String, Integer> maxEjected = ejections.maxEjectedByService();
        return ticketFile.services().stream()
                .filter(service ->
                        ticketFile.servers(service.name()).size() - maxEjected.getOrDefault(service.name(), 0)
                                < service.floor())
                .map(ServiceSpec::name)
                .toList();
    }

    private ObjectNode json() {
        ObjectNode node = new ObjectMapper().createObjectNode();
        node.put("bench", "fleet").put("customer", customer).put("fault", fault).put("vmFault", vmFault);
        node.put("load", load).put("calls", reports.whole().calls());
        workEndedAfter.ifPresent(duration -> node.put("workEndedMillis", duration.toMillis()));
        suspectedAfter.ifPresent(duration -> node.put("suspectedMillis", duration.toMillis()));
        node.put("falseEjectionsPerServerHour", falseEjectionsPerServerHour());
        node.put("inTimeShare", reports.afterFault().inTimeShare());
        node.put("inTimeShareOfService", reports.ofService().inTimeShare());
        node.put("executedTwice", reports.whole().executedTwice());
        node.put("notRunYetRun", reports.whole().notRunYetRun());
        node.put("answeredYetNotRun", reports.whole().answeredYetNotRun());
        node.put("foreignOrPartial", reports.whole().foreignOrPartial());
        node.put("unanswered", reports.whole().unanswered());
        node.put("refusalP50Millis", reports.refusals().refusalP50Millis());
        node.put("refusalP99Millis", reports.refusals().refusalP99Millis());
        node.put("servicesBelowFloor", servicesBelowFloor().size());
        return node;
    }
}
