package io.coppershelf.bench.decisions;

import io.coppershelf.admission.GroupAction.ConditionChanged;
import io.coppershelf.admission.GroupEvent.ServiceTimesReceived;
import io.coppershelf.admission.GroupName;
import io.coppershelf.admission.GroupStatus;
import io.coppershelf.bench.decisions.RunSpec.Stream;
import io.coppershelf.bench.decisions.baseline.LoadReports;
import io.coppershelf.health.ServerCondition;
import io.coppershelf.ticket.ServerSpec;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/** One service in virtual time: its servers, the hosts that decide for them, and the entry VMs. */
final class ServiceSimulation {
    private static final long REPORT_INTERVAL = Units.SECONDS;
    private static final long DRAIN_OUT = 15 * Units.SECONDS;

    private final RunSpec spec;
    private final VirtualTime time = new VirtualTime();
    private final FaultPlan plan;
    private final RunRecorder ledger;
    private final FloorCounter floor;
    private final Map<String, FakeServer> servers = new TreeMap<>();
    private final Map<String, Integer> reportedLoads = new TreeMap<>();
    private final List<GroupHost> hosts = new ArrayList<>();
    private final EntryVms entries;

    private ServiceSimulation(RunSpec spec) {
        this.spec = spec;
        this.plan = new FaultPlan(spec.fault(), spec.service(), spec.endNanos(), spec.random(Stream.PLAN));
        this.ledger = new RunRecorder(spec, plan);
        this.floor = new FloorCounter(spec.service().servers(), spec.service().floor());
        RandomGenerator serverRandom = spec.random(Stream.SERVERS);
        for (ServerSpec server : spec.service().serverSpecs()) {
            servers.put(server.name(), new FakeServer(server.name(), server.slots(), plan, time, serverRandom));
            reportedLoads.put(server.name(), 0);
        }
        this.entries = new EntryVms(this);
    }

    /** Runs the service to its end and returns the figures. */
    static RunResult run(RunSpec spec) {
        if (spec.policy().layout() == Layout.LEASES) {
            return LeaseSimulation.run(spec);
        }
        ServiceSimulation world = new ServiceSimulation(spec);
        world.startHosts();
        world.reportLoads();
        world.entries.start();
        world.time.runUntil(spec.endNanos() + DRAIN_OUT);
        world.entries.finish();
        return world.ledger.finish();
    }

    private void startHosts() {
        RandomGenerator random = spec.random(Stream.DECISIONS);
        LoadReports reports = reportedLoads::get;
        for (List<ServerSpec> group : groups()) {
            GroupName name = new GroupName(spec.service().name(), group.get(0).dataCentre());
            hosts.add(new GroupHost(hosts.size(), spec.policy().create(name, reports, random), this));
        }
        for (int index = 0; index < hosts.size(); index++) {
            hosts.get(index).start(groups().get(index));
        }
    }

    private List<List<ServerSpec>> groups() {
        List<ServerSpec> all = spec.service().serverSpecs();
        return switch (spec.policy().layout()) {
            case OWNER_PER_GROUP -> byDataCentre(all);
            case OWNER_PER_SERVER -> all.stream().map(List::of).toList();
            case OWNER_PER_SERVICE -> List.of(all);
            case EACH_VM_ALONE, LEASES -> Collections.nCopies(Customer.VMS, all);
        };
    }

    private static List<List<ServerSpec>> byDataCentre(List<ServerSpec> all) {
        Map<String, List<ServerSpec>> groups = new LinkedHashMap<>();
        all.forEach(server -> groups.computeIfAbsent(server.dataCentre(), absent -> new ArrayList<>())
                .add(server));
        return List.copyOf(groups.values());
    }

    private void reportLoads() {
        servers.forEach((name, server) -> reportedLoads.put(name, reportedLoad(name, server)));
        time.after(REPORT_INTERVAL, this::reportLoads);
    }

    private int reportedLoad(String name, FakeServer server) {
        if (!plan.hasMisleadingReports(time.now())) {
            return server.load();
        }
        boolean first = name.equals(servers.keySet().iterator().next());
        return first ? 0 : server.slots();
    }

    /** Tells the usual times of one host to the others. */
    void shareBaseline(int sender, ServiceTimesReceived heard) {
        for (int index = 0; index < hosts.size(); index++) {
            GroupHost host = hosts.get(index);
            if (index != sender) {
                time.after(spec.service().customer().oneWayNanos(), () -> host.receiveServiceTimes(heard));
            }
        }
    }

    /** Takes in a change of condition. */
    void conditionChanged(ConditionChanged changed) {
        ledger.recordConditionChange(changed.server(), changed.to(), time.now());
        floor.reportOut(
                changed.server(), changed.to() == ServerCondition.DRAINING || changed.to() == ServerCondition.COLD);
    }

    /** Brings a reply to the entry VM. */
    void reply(int host, Attempt attempt, Reply reply, GroupStatus status) {
        time.after(networkDelayNanos(), () -> entries.handleReply(host, attempt, reply, status));
    }

    /** Returns the time between an entry VM and a host. */
    long networkDelayNanos() {
        if (spec.policy().layout() == Layout.EACH_VM_ALONE) {
            return 0;
        }
        ledger.recordMessage(time.now());
        return spec.service().customer().oneWayNanos();
    }

    RunSpec spec() {
        return spec;
    }

    VirtualTime time() {
        return time;
    }

    FaultPlan plan() {
        return plan;
    }

    RunRecorder recorder() {
        return ledger;
    }

    FloorCounter floor() {
        return floor;
    }

    FakeServer server(String name) {
        return servers.get(name);
    }

    List<GroupHost> hosts() {
        return hosts;
    }
}
