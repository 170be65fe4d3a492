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

/** Simulates one service with leases: owners lease slots to entry VMs, which send to the servers directly. */
final class LeaseSimulation {
    /** Time for which an entry VM keeps an idle lease if no other request waits for it. */
    private static final long IDLE_LEASE_NANOS = 20 * Units.MILLIS;

    /** Time after the last arrival in which the remaining requests end. */
    private static final long DRAIN_NANOS = 15 * Units.SECONDS;

    private final RunSpec spec;
    private final VirtualTime time = new VirtualTime();
    private final RunRecorder recorder;
    private final Map<String, FakeServer> servers = new TreeMap<>();
    private final List<LeaseBroker> brokers = new ArrayList<>();
    private final List<Deque<Lease>> idleByVm = new ArrayList<>();
    private final List<BenchRequest> requests = new ArrayList<>();
    private final RandomGenerator arrivals;
    private final RandomGenerator random;

    private LeaseSimulation(RunSpec spec) {
        this.spec = spec;
        FaultPlan plan = new FaultPlan(spec.fault(), spec.service(), spec.endNanos(), spec.random(Stream.PLAN));
        this.recorder = new RunRecorder(spec, plan);
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

    /** Runs the simulation to its end and returns the figures. */
    static RunResult run(RunSpec spec) {
        LeaseSimulation simulation = new LeaseSimulation(spec);
        simulation.time.after(simulation.nextInterarrivalNanos(), simulation::arrive);
        simulation.time.runUntil(spec.endNanos() + DRAIN_NANOS);
        simulation.requests.forEach(simulation.recorder::recordFinalState);
        return simulation.recorder.finish();
    }

    private long nextInterarrivalNanos() {
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
        recorder.recordArrival(request);
        time.at(request.deadlineNanos(), () -> recordLossIfUnanswered(request));
        Deque<Lease> idle = idleByVm.get(vm);
        if (idle.isEmpty()) {
            sendMessage(() -> requestLease(selectBroker(), request));
        } else {
            dispatch(idle.removeFirst(), request);
        }
        time.after(nextInterarrivalNanos(), this::arrive);
    }

    private void sendMessage(Runnable onArrival) {
        recorder.recordMessage(time.now());
        time.after(spec.service().customer().oneWayNanos(), onArrival);
    }

    private LeaseBroker selectBroker() {
        LeaseBroker first = brokers.get(random.nextInt(brokers.size()));
        LeaseBroker second = brokers.get(random.nextInt(brokers.size()));
        return second.backlog() < first.backlog() ? second : first;
    }

    private void requestLease(LeaseBroker broker, BenchRequest request) {
        if (broker.request(request, time.now())) {
            assignLeases(broker);
        } else {
            sendMessage(() -> refuse(request));
        }
    }

    private void assignLeases(LeaseBroker broker) {
        broker.assign(time.now())
                .forEach(assignment -> sendMessage(() -> dispatch(assignment.lease(), assignment.request())));
    }

    private void refuse(BenchRequest request) {
        if (request.markAnswered()) {
            recorder.recordRefusal(request, time.now());
        }
    }

    private void dispatch(Lease lease, BenchRequest request) {
        if (request.isAnswered()) {
            returnLease(lease);
            return;
        }
        Attempt attempt = new Attempt(request.nextAttemptId(), request);
        servers.get(lease.server()).start(attempt, answer -> receiveAnswer(lease, request, answer));
    }

    private void receiveAnswer(Lease lease, BenchRequest request, Answer answer) {
        if (request.markAnswered()) {
            boolean success = answer.status().filter(status -> status == 200).isPresent();
            recorder.recordAnswer(request, success, time.now());
        }
        if (lease.broker().isContended()) {
            returnLease(lease);
            return;
        }
        idleByVm.get(request.vm()).addLast(lease);
        time.after(IDLE_LEASE_NANOS, () -> returnIfIdle(request.vm(), lease));
    }

    private void returnIfIdle(int vm, Lease lease) {
        if (idleByVm.get(vm).remove(lease)) {
            returnLease(lease);
        }
    }

    private void returnLease(Lease lease) {
        sendMessage(() -> {
            lease.broker().release(lease);
            assignLeases(lease.broker());
        });
    }

    private void recordLossIfUnanswered(BenchRequest request) {
        if (request.markAnswered()) {
            recorder.recordLoss(request);
        }
    }

    /** The right to use one slot of a server. */
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
