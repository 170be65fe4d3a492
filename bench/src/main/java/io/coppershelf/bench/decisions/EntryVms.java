package io.coppershelf.bench.decisions;

import io.coppershelf.admission.GroupStatus;
import io.coppershelf.bench.decisions.RunSpec.Stream;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** The entry VMs: arrivals, choice of a host by its last known figures, retries within a budget, outcomes. */
final class EntryVms {
    /** Retries per first try. */
    private static final double BUDGET_SHARE = 0.1;

    private static final double LARGEST_BUDGET = 5;
    /** How long after the begin of a pause the others know that a host does not answer. */
    private static final long LIVENESS_LIMIT = 2 * Units.SECONDS;

    /** How long the figures of a host are remembered. */
    private static final long MEMORY = Units.SECONDS;

    private static final long WAIT_AFTER_REFUSAL = Units.SECONDS;
    private static final long WAIT_WITHOUT_FREE_SLOT = Units.MILLIS;

    private final ServiceSimulation world;
    private final RandomGenerator arrivals;
    private final RandomGenerator random;
    private final List<Entry> entries = new ArrayList<>();
    private final List<BenchRequest> requests = new ArrayList<>();

    EntryVms(ServiceSimulation world) {
        this.world = world;
        this.arrivals = world.spec().random(Stream.ARRIVALS);
        this.random = world.spec().random(Stream.ENTRIES);
    }

    /** Begins the arrivals. */
    void start() {
        for (int vm = 0; vm < Customer.VMS; vm++) {
            entries.add(new Entry(world.hosts().size()));
        }
        world.time().after(nextGap(), this::arrive);
    }

    private long nextGap() {
        double rate = world.spec().load() * world.spec().service().capacityPerSecond();
        return (long) (-Math.log(1 - arrivals.nextDouble()) / rate * Units.SECONDS);
    }

    private void arrive() {
        long now = world.time().now();
        if (now >= world.spec().endNanos()) {
            return;
        }
        int vm = arrivals.nextInt(Customer.VMS);
        KindProfile kind = world.spec().service().drawKind(arrivals);
        BenchRequest request = new BenchRequest(requests.size(), vm, kind, now);
        requests.add(request);
        world.recorder().recordArrival(request);
        entries.get(vm).budget = Math.min(LARGEST_BUDGET, entries.get(vm).budget + BUDGET_SHARE);
        world.time().at(request.deadlineNanos(), () -> lose(request));
        send(request, -1);
        world.time().after(nextGap(), this::arrive);
    }

    private void send(BenchRequest request, int avoided) {
        int host = choose(request.vm(), avoided);
        Attempt attempt = new Attempt(request.nextAttemptId(), request);
        GroupHost target = world.hosts().get(host);
        world.time().after(world.networkDelayNanos(), () -> target.accept(attempt));
    }

    private int choose(int vm, int avoided) {
        int hosts = world.hosts().size();
        if (world.spec().policy().layout() == Layout.EACH_VM_ALONE) {
            return vm;
        }
        int first = draw(hosts, avoided);
        int second = draw(hosts, avoided);
        Entry entry = entries.get(vm);
        long now = world.time().now();
        return entry.expectedWaitNanos(second, now) < entry.expectedWaitNanos(first, now) ? second : first;
    }

    private int draw(int hosts, int avoided) {
        for (int tries = 0; tries < 10; tries++) {
            int host = random.nextInt(hosts);
            if (host != avoided && !isKnownPaused(host)) {
                return host;
            }
        }
        return Math.max(0, avoided);
    }

    private boolean isKnownPaused(int host) {
        long now = world.time().now();
        return now - LIVENESS_LIMIT >= 0
                && world.plan().pausedUntil(host, now).isPresent()
                && world.plan().pausedUntil(host, now - LIVENESS_LIMIT).isPresent();
    }

    /** Takes in what a host tells of a try. */
    void handleReply(int host, Attempt attempt, Reply reply, GroupStatus status) {
        BenchRequest request = attempt.request();
        entries.get(request.vm()).recordReply(host, reply, status, world.time().now());
        if (request.isAnswered()) {
            return;
        }
        long now = world.time().now();
        boolean repeatable = reply.isNotRun() || request.kind().idempotent();
        if (reply.status().isEmpty() && repeatable && mayRetry(request, now)) {
            entries.get(request.vm()).budget -= 1;
            send(request, host);
            return;
        }
        request.markAnswered();
        if (reply.status().isPresent()) {
            world.recorder().recordAnswer(request, reply.isSuccess(), now);
        } else if (reply.isNotRun() && request.runs() == 0) {
            world.recorder().recordRefusal(request, now);
        } else {
            world.recorder().recordLoss(request);
        }
    }

    private boolean mayRetry(BenchRequest request, long now) {
        Entry entry = entries.get(request.vm());
        boolean inTime = now + request.kind().medianNanos() < request.deadlineNanos();
        return inTime && entry.budget >= 1;
    }

    private void lose(BenchRequest request) {
        if (request.markAnswered()) {
            world.recorder().recordLoss(request);
        }
    }

    /** Ends the books. */
    void finish() {
        requests.forEach(world.recorder()::recordFinalState);
    }

    /** What one entry VM knows. */
    private static final class Entry {
        private final long[] waitNanos;
        private final long[] heardNanos;
        private double budget = 1;

        Entry(int hosts) {
            this.waitNanos = new long[hosts];
            this.heardNanos = new long[hosts];
        }

        void recordReply(int host, Reply reply, GroupStatus status, long nowNanos) {
            long busy = status.freeSlots() > 0 ? 0 : WAIT_WITHOUT_FREE_SLOT;
            waitNanos[host] = reply.isNotRun()
                    ? Math.max(WAIT_AFTER_REFUSAL, status.expectedWaitNanos())
                    : status.expectedWaitNanos() + busy;
            heardNanos[host] = nowNanos;
        }

        /** Returns the expected wait of a host, 0 if nothing is known of it. */
        long expectedWaitNanos(int host, long nowNanos) {
            return nowNanos - heardNanos[host] > MEMORY ? 0 : waitNanos[host];
        }
    }
}
