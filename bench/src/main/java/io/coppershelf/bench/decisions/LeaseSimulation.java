package io.coppershelf.bench.decisions;

import io.coppershelf.bench.decisions.FakeServer.Answer;
import io.coppershelf.bench.decisions.RunSpec.Stream;
import io.coppershelf.ticket.ServerSpec;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/** The way by leases: owners lend slots to entry VMs, which send to the servers themselves. */
final class LeaseSimulation {
    /** How long an entry VM keeps an idle lease that nobody else waits for. */
    private static final long LINGER = 20 * Units.MILLIS;

    private static final long DRAIN_OUT = 15 * Units.SECONDS;

    private final RunSpec spec;
    private final VirtualTime time = new VirtualTime();
    private final RunRecorder ledger;
    private final Map<String, FakeServer> servers = new TreeMap<>();
    private final List<LeaseBroker> brokers = new ArrayList<>();
    private final List<Deque<Lease>> idleByVm = new ArrayList<>();
    private final List<BenchRequest> requests = new ArrayList<>();
    private final RandomGenerator arrivals;
    private final RandomGenerator random;

    private LeaseSimulation(RunSpec spec) {
        this.spec = spec;
        FaultPlan plan = new FaultPlan(spec.fault(), spec.service(), spec.endNanos(), spec.random(Stream.PLAN));
        this.ledger = new RunRecorder(spec, plan);
        this.arrivals = spec.random(Stream.ARRIVALS);
        this.random = spec.random(Stream.ENTRIES);
        RandomGenerator serverRandom = spec.random(Stream.SERVERS);
        Map<String, List<ServerSpec>> groups = new LinkedHashMap<>();
        for (ServerSpec server : spec.service().serverSpecs()) {
            servers.put(server.name(), new FakeServer(server.name(), server.slots(), plan, time, serverRandom));
            groups.computeIfAbsent(server.dataCentre(), absent -> new ArrayList<>())
                    .add(server);
        }
        groups.values().forEach(group -> brokers.add(new LeaseBroker(group, spec.service())));
        for (int vm = 0; vm < Customer.VMS; vm++) {
            idleByVm.add(new ArrayDeque<>());
        }
    }

    /** Runs the service to its end and returns the figures. */
    static RunResult run(RunSpec spec) {
        LeaseSimulation world = new LeaseSimulation(spec);
        world.time.after(world.nextGap(), world::arrive);
        world.time.runUntil(spec.endNanos() + DRAIN_OUT);
        world.requests.forEach(world.ledger::recordFinalState);
        return world.ledger.finish();
    }

    private long nextGap() {
        double rate = spec.load() * spec.service().capacityPerSecond();
        return (long) (-Math.log(1 - arrivals.nextDouble()) / rate * Units.SECONDS);
    }

    private void arrive() {
        if (time.now() >= spec.endNanos()) {
            return;
        }
        int vm = arrivals.nextInt(Customer.VMS);
        KindProfile kind = spec.service().drawKind(arrivals);
        BenchRequest request = new BenchRequest(requests.size(), vm, kind, time.now());
        requests.add(request);
        ledger.recordArrival(request);
        time.at(request.deadlineNanos(), () -> lose(request));
        Deque<Lease> idle = idleByVm.get(vm);
        if (idle.isEmpty()) {
            hop(() -> ask(choose(), request));
        } else {
            use(idle.removeFirst(), request);
        }
        time.after(nextGap(), this::arrive);
    }

    private void hop(Runnable task) {
        ledger.recordMessage(time.now());
        time.after(spec.service().customer().oneWayNanos(), task);
    }

    private LeaseBroker choose() {
        LeaseBroker first = brokers.get(random.nextInt(brokers.size()));
        LeaseBroker second = brokers.get(random.nextInt(brokers.size()));
        return second.backlog() < first.backlog() ? second : first;
    }

    private void ask(LeaseBroker broker, BenchRequest request) {
        if (broker.request(request, time.now())) {
            grant(broker);
        } else {
            hop(() -> refuse(request));
        }
    }

    private void grant(LeaseBroker broker) {
        broker.grants(time.now()).forEach(grant -> hop(() -> use(grant.lease(), grant.request())));
    }

    private void refuse(BenchRequest request) {
        if (request.markAnswered()) {
            ledger.recordRefusal(request, time.now());
        }
    }

    private void use(Lease lease, BenchRequest request) {
        if (request.isAnswered()) {
            giveBack(lease);
            return;
        }
        Attempt attempt = new Attempt(request.nextAttemptId(), request);
        servers.get(lease.server()).start(attempt, answer -> answered(lease, request, answer));
    }

    private void answered(Lease lease, BenchRequest request, Answer answer) {
        if (request.markAnswered()) {
            boolean success = answer.status().filter(status -> status == 200).isPresent();
            ledger.recordAnswer(request, success, time.now());
        }
        if (lease.broker().isContended()) {
            giveBack(lease);
            return;
        }
        idleByVm.get(request.vm()).addLast(lease);
        time.after(LINGER, () -> endLinger(request.vm(), lease));
    }

    private void endLinger(int vm, Lease lease) {
        if (idleByVm.get(vm).remove(lease)) {
            giveBack(lease);
        }
    }

    private void giveBack(Lease lease) {
        hop(() -> {
            lease.broker().release(lease);
            grant(lease.broker());
        });
    }

    private void lose(BenchRequest request) {
        if (request.markAnswered()) {
            ledger.recordLoss(request);
        }
    }

    /** The right to use one slot. */
    static final class Lease {
        private final String server;
        private final LeaseBroker broker;

        Lease(String server, LeaseBroker broker) {
            this.server = server;
            this.broker = broker;
        }

        String server() {
            return server;
        }

        LeaseBroker broker() {
            return broker;
        }
    }
}
