package io.coppershelf.bench.decisions;

import io.coppershelf.admission.GroupStatus;
import io.coppershelf.bench.decisions.RunSpec.Stream;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The entry VMs: they receive the callers' requests, select a host by its last received load figures, retry within a
 * budget and record the outcomes.
 */
final class EntryVms {
    /** Retries that each new request adds to the budget. */
    private static final double RETRY_BUDGET_SHARE = 0.1;

    private static final double MAX_RETRY_BUDGET = 5;

    /** Time from the start of a pause until the entry VMs detect that the host doesn't answer. */
    private static final long PAUSE_DETECTION_NANOS = 2 * Units.SECONDS;

    /** Time until the last received figures of a host are discarded. */
    private static final long MAX_FIGURE_AGE_NANOS = Units.SECONDS;

    /** Maximum number of random draws in search of a host that is neither excluded nor known to be paused. */
    private static final int MAX_DRAWS = 10;

    private static final int NO_HOST = -1;
    private static final long WAIT_AFTER_REFUSAL_NANOS = Units.SECONDS;
    private static final long WAIT_WITHOUT_FREE_SLOT_NANOS = Units.MILLIS;

    private final ServiceSimulation simulation;
    private final RandomGenerator arrivals;
    private final RandomGenerator random;
    private final List<EntryVm> entryVms = new ArrayList<>();
    private final List<BenchRequest> requests = new ArrayList<>();

    EntryVms(ServiceSimulation simulation) {
        this.simulation = simulation;
        this.arrivals = simulation.spec().random(Stream.ARRIVALS);
        this.random = simulation.spec().random(Stream.ENTRIES);
    }

    /** Starts the arrivals. */
    void start() {
        for (int vm = 0; vm < Customer.VMS; vm++) {
            entryVms.add(new EntryVm(simulation.hosts().size()));
        }
        simulation.time().after(nextInterarrivalNanos(), this::arrive);
    }

    private long nextInterarrivalNanos() {
        double rate = simulation.spec().load() * simulation.spec().service().capacityPerSecond();
        return (long) (-Math.log(1 - arrivals.nextDouble()) / rate * Units.SECONDS);
    }

    private void arrive() {
        long now = simulation.time().now();
        if (now >= simulation.spec().endNanos()) {
            return;
        }
        int vm = arrivals.nextInt(Customer.VMS);
        KindProfile kind = simulation.spec().service().drawKind(arrivals);
        BenchRequest request = new BenchRequest(requests.size(), vm, kind, now);
        requests.add(request);
        simulation.recorder().recordArrival(request);
        entryVms.get(vm).retryBudget = Math.min(MAX_RETRY_BUDGET, entryVms.get(vm).retryBudget + RETRY_BUDGET_SHARE);
        simulation.time().at(request.deadlineNanos(), () -> recordLossIfUnanswered(request));
        send(request, NO_HOST);
        simulation.time().after(nextInterarrivalNanos(), this::arrive);
    }

    private void send(BenchRequest request, int excluded) {
        int host = selectHost(request.vm(), excluded);
        Attempt attempt = new Attempt(request.nextAttemptId(), request);
        GroupHost target = simulation.hosts().get(host);
        simulation.time().after(simulation.networkDelayNanos(), () -> target.accept(attempt));
    }

    private int selectHost(int vm, int excluded) {
        int hosts = simulation.hosts().size();
        if (simulation.spec().policy().layout() == Layout.EACH_VM_ALONE) {
            return vm;
        }
        int first = drawHost(hosts, excluded);
        int second = drawHost(hosts, excluded);
        EntryVm entryVm = entryVms.get(vm);
        long now = simulation.time().now();
        return entryVm.expectedWaitNanos(second, now) < entryVm.expectedWaitNanos(first, now) ? second : first;
    }

    private int drawHost(int hosts, int excluded) {
        for (int draws = 0; draws < MAX_DRAWS; draws++) {
            int host = random.nextInt(hosts);
            if (host != excluded && !isKnownPaused(host)) {
                return host;
            }
        }
        return Math.max(0, excluded);
    }

    private boolean isKnownPaused(int host) {
        long now = simulation.time().now();
        return now - PAUSE_DETECTION_NANOS >= 0
                && simulation.plan().pausedUntil(host, now).isPresent()
                && simulation
                        .plan()
                        .pausedUntil(host, now - PAUSE_DETECTION_NANOS)
                        .isPresent();
    }

    /** Handles a host's reply to an attempt: retries the request or records its outcome. */
    void handleReply(int host, Attempt attempt, Reply reply, GroupStatus status) {
        BenchRequest request = attempt.request();
        entryVms.get(request.vm())
                .recordReply(host, reply, status, simulation.time().now());
        if (request.isAnswered()) {
            return;
        }
        long now = simulation.time().now();
        boolean mayRepeat = reply.isNotRun() || request.kind().idempotent();
        if (reply.status().isEmpty() && mayRepeat && mayRetry(request, now)) {
            entryVms.get(request.vm()).retryBudget -= 1;
            send(request, host);
            return;
        }
        request.markAnswered();
        if (reply.status().isPresent()) {
            simulation.recorder().recordAnswer(request, reply.isSuccess(), now);
        } else if (reply.isNotRun() && request.runs() == 0) {
            simulation.recorder().recordRefusal(request, now);
        } else {
            simulation.recorder().recordLoss(request);
        }
    }

    private boolean mayRetry(BenchRequest request, long now) {
        EntryVm entryVm = entryVms.get(request.vm());
        boolean inTime = now + request.kind().medianNanos() < request.deadlineNanos();
        return inTime && entryVm.retryBudget >= 1;
    }

    private void recordLossIfUnanswered(BenchRequest request) {
        if (request.markAnswered()) {
            simulation.recorder().recordLoss(request);
        }
    }

    /** Records the final state of all requests, after the run. */
    void recordFinalStates() {
        requests.forEach(simulation.recorder()::recordFinalState);
    }

    /** The retry budget of an entry VM and the last received figures of each host. */
    private static final class EntryVm {
        private final long[] waitNanos;
        private final long[] receivedNanos;
        private double retryBudget = 1;

        EntryVm(int hosts) {
            this.waitNanos = new long[hosts];
            this.receivedNanos = new long[hosts];
        }

        void recordReply(int host, Reply reply, GroupStatus status, long nowNanos) {
            long busyNanos = status.freeSlots() > 0 ? 0 : WAIT_WITHOUT_FREE_SLOT_NANOS;
            waitNanos[host] = reply.isNotRun()
                    ? Math.max(WAIT_AFTER_REFUSAL_NANOS, status.expectedWaitNanos())
                    : status.expectedWaitNanos() + busyNanos;
            receivedNanos[host] = nowNanos;
        }

        /** Returns the expected wait at a host, 0 if no recent figure is known. */
        long expectedWaitNanos(int host, long nowNanos) {
            return nowNanos - receivedNanos[host] > MAX_FIGURE_AGE_NANOS ? 0 : waitNanos[host];
        }
    }
}
