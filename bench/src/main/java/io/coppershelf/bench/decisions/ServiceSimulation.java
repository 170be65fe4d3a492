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

/**
 * Simulates one service in virtual time: its servers, the hosts that make the decisions for them, and the entry VMs.
 */
final class ServiceSimulation {
    private static final long REPORT_INTERVAL_NANOS = Units.SECONDS;

    /** Time after the last arrival in which the remaining requests end. */
    private static final long DRAIN_NANOS = 15 * Units.SECONDS;

    private final RunSpec spec;
    private final VirtualTime time = new VirtualTime();
    private final FaultPlan plan;
    private final RunRecorder recorder;
    private final FloorCounter floor;
    private final Map<String, FakeServer> servers = new TreeMap<>();
    private final Map<String, Integer> reportedLoads = new TreeMap<>();
    private final List<GroupHost> hosts = new ArrayList<>();
    private final EntryVms entryVms;

    private ServiceSimulation(RunSpec spec) {
        this.spec = spec;
        this.plan = new FaultPlan(spec.fault(), spec.service(), spec.endNanos(), spec.random(Stream.PLAN));
        this.recorder = new RunRecorder(spec, plan);
        this.floor = new FloorCounter(spec.service().servers(), spec.service().floor());
        RandomGenerator serverRandom = spec.random(Stream.SERVERS);
        for (ServerSpec server : spec.service().serverSpecs()) {
            servers.put(server.name(), new FakeServer(server.name(), server.slots(), plan, time, serverRandom));
            reportedLoads.put(server.name(), 0);
        }
        this.entryVms = new EntryVms(this);
    }

    /** Runs the simulation to its end and returns the figures. */
    static RunResult run(RunSpec spec) {
        if (spec.policy().layout() == Layout.LEASES) {
            return LeaseSimulation.run(spec);
        }
        ServiceSimulation simulation = new ServiceSimulation(spec);
        simulation.startHosts();
        simulation.reportLoads();
        simulation.entryVms.start();
        simulation.time.runUntil(spec.endNanos() + DRAIN_NANOS);
        simulation.entryVms.recordFinalStates();
        return simulation.recorder.finish();
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
        time.after(REPORT_INTERVAL_NANOS, this::reportLoads);
    }

    private int reportedLoad(String name, FakeServer server) {
        if (!plan.hasMisleadingReports(time.now())) {
            return server.load();
        }
        boolean first = name.equals(servers.keySet().iterator().next());
        return first ? 0 : server.slots();
    }

    /** Sends the typical service times of one host to the others. */
    void shareServiceTimes(int sender, ServiceTimesReceived serviceTimes) {
        for (int index = 0; index < hosts.size(); index++) {
            GroupHost host = hosts.get(index);
            if (index != sender) {
                time.after(spec.service().customer().oneWayNanos(), () -> host.receiveServiceTimes(serviceTimes));
            }
        }
    }

    /** Records a change of a server's condition. */
    void recordConditionChange(ConditionChanged changed) {
        recorder.recordConditionChange(changed.server(), changed.to(), time.now());
        floor.reportOutOfService(
                changed.server(), changed.to() == ServerCondition.DRAINING || changed.to() == ServerCondition.COLD);
    }

    /** Sends a host's reply to the entry VM. */
    void reply(int host, Attempt attempt, Reply reply, GroupStatus status) {
        time.after(networkDelayNanos(), () -> entryVms.handleReply(host, attempt, reply, status));
    }

    /** Returns the one-way delay between an entry VM and a host, and counts a message unless they are the same VM. */
    long networkDelayNanos() {
        if (spec.policy().layout() == Layout.EACH_VM_ALONE) {
            return 0;
        }
        recorder.recordMessage(time.now());
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
        return recorder;
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
