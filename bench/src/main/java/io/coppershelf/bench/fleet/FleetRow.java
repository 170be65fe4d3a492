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

/** One row of the fleet measurement. */
final class FleetRow {
    private static final double MILLIS_PER_HOUR = 3_600_000.0;

    private final String customer;
    private final String fault;
    private final String vmFault;
    private final int load;
    private final Optional<Duration> workEnded;
    private final boolean sick;
    private final Optional<Duration> suspected;
    private final Reports truths;
    private final EjectionLog ejections;
    private final String target;
    private final Duration observed;
    private final TicketFile objects;

    FleetRow(
            String customer,
            String fault,
            String vmFault,
            int load,
            Optional<Duration> workEnded,
            boolean sick,
            Optional<Duration> suspected,
            Reports truths,
            EjectionLog ejections,
            String target,
            Duration observed,
            TicketFile objects) {
        this.customer = customer;
        this.fault = fault;
        this.vmFault = vmFault;
        this.load = load;
        this.workEnded = workEnded;
        this.sick = sick;
        this.suspected = suspected;
        this.truths = truths;
        this.ejections = ejections;
        this.target = target;
        this.observed = observed;
        this.objects = objects;
    }

    /**
     * What callers were told.
     *
     * @param whole over the whole run
     * @param afterFault from the onset of the fault
     * @param ofService from the onset of the fault, for the service of the faulty server
     * @param refusals the errors from the onset of the fault
     */
    record Reports(
            ConsistencyReport whole,
            ConsistencyReport afterFault,
            ConsistencyReport ofService,
            RefusalSummary refusals) {}

    /** Returns whether every promise was kept in the run. */
    boolean areGuaranteesKept() {
        return truths.whole().isConsistent() && servicesBelowFloor().isEmpty();
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
                100 * truths.afterFault().inTimeShare(),
                100 * truths.ofService().inTimeShare(),
                truths.refusals().refusalP50Millis(),
                truths.refusals().refusalP99Millis(),
                truths.refusals().byError());
        System.out.printf(
                Locale.ROOT,
                "%d calls, executed twice %d, not run yet run %d, answered yet not run %d, foreign or partial %d,"
                        + " unanswered %d, services below their floor %s%n",
                truths.whole().calls(),
                truths.whole().executedTwice(),
                truths.whole().notRunYetRun(),
                truths.whole().answeredYetNotRun(),
                truths.whole().foreignOrPartial(),
                truths.whole().unanswered(),
                servicesBelowFloor());
        System.out.println(json());
    }

    private String detection() {
        if (!sick) {
            return "-";
        }
        return "suspected after " + millis(suspected) + ", no work beyond a trickle after " + millis(workEnded);
    }

    private static String millis(Optional<Duration> time) {
        return time.map(known -> known.toMillis() + " ms").orElse("NEVER");
    }

    private double falseEjectionsPerServerHour() {
        long count = ejections.ejectionsExcept(sick ? List.of(target) : List.of());
        return count / (objects.servers().size() * observed.toMillis() / MILLIS_PER_HOUR);
    }

    private List<String> servicesBelowFloor() {
        Map<String, Integer> most = ejections.mostEjected();
        return objects.services().stream()
                .filter(service ->
                        objects.servers(service.name()).size() - most.getOrDefault(service.name(), 0) < service.floor())
                .map(ServiceSpec::name)
                .toList();
    }

    private ObjectNode json() {
        ObjectNode node = new ObjectMapper().createObjectNode();
        node.put("bench", "fleet").put("customer", customer).put("fault", fault).put("vmFault", vmFault);
        node.put("load", load).put("calls", truths.whole().calls());
        workEnded.ifPresent(time -> node.put("workEndedMillis", time.toMillis()));
        suspected.ifPresent(time -> node.put("suspectedMillis", time.toMillis()));
        node.put("falseEjectionsPerServerHour", falseEjectionsPerServerHour());
        node.put("inTimeShare", truths.afterFault().inTimeShare());
        node.put("inTimeShareOfService", truths.ofService().inTimeShare());
        node.put("executedTwice", truths.whole().executedTwice());
        node.put("notRunYetRun", truths.whole().notRunYetRun());
        node.put("answeredYetNotRun", truths.whole().answeredYetNotRun());
        node.put("foreignOrPartial", truths.whole().foreignOrPartial());
        node.put("unanswered", truths.whole().unanswered());
        node.put("refusalP50Millis", truths.refusals().refusalP50Millis());
        node.put("refusalP99Millis", truths.refusals().refusalP99Millis());
        node.put("servicesBelowFloor", servicesBelowFloor().size());
        return node;
    }
}
