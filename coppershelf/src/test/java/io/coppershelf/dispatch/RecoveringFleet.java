package io.coppershelf.dispatch;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.RequestKind;
import io.coppershelf.catalog.Route;
import io.coppershelf.catalog.WeightedService;
import io.coppershelf.health.estimate.Observation;
import io.coppershelf.mesh.SimulatedMesh;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * A fleet in virtual time whose servers fail for a second now and then and need much longer for a few requests. VMs
 * follow the plan of each request and exchange real messages.
 */
final class RecoveringFleet {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final int DATA_CENTRES = 4;
    private static final int SLOTS = 6;
    private static final long WORK = 610 * MILLI;
    private static final long LATENCY = MILLI;
    private static final long TIMEOUT = 5 * SECOND;
    /** Share of the servers that have episodes. */
    private static final double UNSTABLE_SHARE = 0.3;

    private static final long EPISODE_INTERVAL = 9 * SECOND;
    private static final long EPISODE_LENGTH = SECOND;
    private static final double FAILING_SHARE = 0.9;
    private static final double FAILURE_SHARE = 0.012;
    private static final double OUTLIER_SHARE = 0.01;
    private static final double OUTLIER_FACTOR = 5;
    /** Time from the end of an episode to when the server has to be in use again. */
    private static final long SOUND_AFTER = 2 * SECOND;

    private static final long WINDOW = 2 * SECOND;
    /** Share of the sound servers that has to get a request in any window. */
    private static final double FLOOR_SHARE = 0.7;

    private static final long CHECKED_FROM = 10 * SECOND;
    private static final long END = 60 * SECOND;
    private static final long REPLACEMENT = 30 * SECOND;
    private static final int REPLACED = 20;

    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final List<BackendServer> servers = new ArrayList<>();
    private final Map<BackendServer, Server> states = new HashMap<>();
    private final List<Vm> vms = new ArrayList<>();
    private final SimulatedMesh mesh;
    private final RequestKind kind;
    private final Route route;
    private final Map<String, Integer> idle = new TreeMap<>();
    private final Map<Observation, Integer> idleByEvidence = new TreeMap<>();
    private long eventCount;
    private long now;
    private int requests;
    private int failed;
    private int windows;
    private int idleWindows;
    private int checks;
    private int checksBelowFloor;
    private int episodes;
    private int failedInEpisodes;

    private record Event(long at, long number, LongConsumer action) {}

    /** Creates a fleet and plays its time to the end. */
    RecoveringFleet(int size, int serverCount, double perSecond, RequestKind kind, long seed) {
        random = new Random(seed);
        this.kind = kind;
        route = new Route(
                "rota",
                "host",
                "/rota/",
                kind,
                Duration.ofNanos(TIMEOUT),
                Duration.ofSeconds(2),
                1,
                3,
                List.of(new WeightedService("rota", 1)));
        mesh = new SimulatedMesh(size, DATA_CENTRES, 0, this::at, END);
        for (int i = 0; i < serverCount; i++) {
            add(i);
        }
        mesh.register(servers);
        for (int i = 0; i < size; i++) {
            vms.add(new Vm(i, size));
        }
        at(REPLACEMENT, time -> replace());
        for (double time = 0; time < END; time += -Math.log(1 - random.nextDouble()) / perSecond * SECOND) {
            at((long) time, arrival -> new Request(vms.get(random.nextInt(size))).start());
        }
        for (long time = CHECKED_FROM; time < END; time += SECOND / 10) {
            at(time, checked -> check());
        }
        while (!events.isEmpty()) {
            Event event = events.poll();
            now = event.at;
            event.action.accept(now);
        }
    }

    /** Returns the servers that were sound but had no request for two seconds, with the longest such time. */
    Map<String, Integer> idleMillis() {
        return idle;
    }

    /** Returns the share of the time in which too few of the sound servers had a request. */
    double belowFloorShare() {
        return checksBelowFloor / (double) checks;
    }

    @Override
    public String toString() {
        return String.format(
                "%d requests, failed %.4f, %d episodes, %.2f failed attempts each, idle share %.4f, below the floor %.4f,"
                        + " idle servers %d by the last evidence against them %s",
                requests,
                failed / (double) requests,
                episodes,
                failedInEpisodes / (double) Math.max(1, episodes),
                idleWindows / (double) windows,
                belowFloorShare(),
                idle.size(),
                idleByEvidence);
    }

    private void at(long nanos, LongConsumer action) {
        events.add(new Event(nanos, eventCount++, action));
    }

    private void add(int number) {
        BackendServer server = new BackendServer(
                "i-" + number, 1, "rota", new InetSocketAddress(1), mesh.dataCentre(number), SLOTS, true, 0);
        servers.add(server);
        states.put(server, new Server());
        if (random.nextDouble() < UNSTABLE_SHARE) {
            at(now + (long) (random.nextDouble() * EPISODE_INTERVAL), time -> beginEpisode(server));
        }
    }

    private void beginEpisode(BackendServer server) {
        if (now >= END || !servers.contains(server)) {
            return;
        }
        states.get(server).episodeEnd = now + EPISODE_LENGTH;
        episodes++;
        at(now + (long) (EPISODE_INTERVAL * (0.5 + random.nextDouble())), time -> beginEpisode(server));
    }

    private void replace() {
        for (int i = 0; i < REPLACED; i++) {
            servers.remove(0);
            add(states.size());
        }
        mesh.register(servers);
    }

    private void check() {
        int sound = 0;
        int used = 0;
        for (BackendServer server : servers) {
            Server state = states.get(server);
            boolean isSound =
                    now - state.startedAt > SOUND_AFTER + WINDOW && now - state.episodeEnd > SOUND_AFTER + WINDOW;
            if (!isSound) {
                continue;
            }
            windows++;
            sound++;
            if (now - state.lastRequest <= WINDOW) {
                used++;
            } else {
                idleWindows++;
                idle.merge(server.id(), (int) ((now - state.lastRequest) / MILLI), Math::max);
                state.lastEvidence.ifPresent(evidence -> idleByEvidence.merge(evidence, 1, Integer::sum));
            }
        }
        checks++;
        checksBelowFloor += used < FLOOR_SHARE * sound ? 1 : 0;
    }

    private final class Server {
        private final long startedAt = now;
        private long episodeEnd = Long.MIN_VALUE / 2;
        private long lastRequest = now;
        private int running;
        private Optional<Observation> lastEvidence = Optional.empty();
    }

    private final class Vm {
        private final int index;
        private final ServerChooser chooser;
        private final FleetRetryBudget budget = new FleetRetryBudget(0.2, 166, Duration.ofSeconds(10));
        private final TypicalLatency latency = new TypicalLatency();
        private final int size;

        Vm(int index, int size) {
            this.index = index;
            this.size = size;
            chooser = mesh.chooser(index, random);
        }

        void observed(BackendServer server, Observation observation) {
            if (observation.isNegative()) {
                states.get(server).lastEvidence = Optional.of(observation);
            }
            mesh.observed(index, server, observation, now);
        }
    }

    private record Attempt(BackendServer server, long sentNanos) {}

    /** A request that follows its plan. */
    private final class Request extends UnimpededAllocator {
        private final Vm vm;
        private final RequestPlan plan;
        private final List<Attempt> attempts = new ArrayList<>();
        private final List<Boolean> ended = new ArrayList<>();
        private boolean isStallReported;
        private boolean isAnswered;
        private boolean isDone;

        Request(Vm vm) {
            this.vm = vm;
            plan = new RequestPlan(route, this, now + TIMEOUT, vm.latency);
            vm.budget.countRequest("rota", now);
        }

        void start() {
            requests++;
            execute(plan.start(now));
        }

        private void execute(List<PlanStep> steps) {
            for (PlanStep step : steps) {
                if (step instanceof PlanStep.Send send) {
                    send(send.server());
                } else if (step instanceof PlanStep.ReportStall stall) {
                    isStallReported = true;
                    vm.observed(attempts.get(stall.attempt()).server, Observation.STALL);
                } else {
                    isDone = true;
                    failed += step instanceof PlanStep.Deliver && isAnswered ? 0 : 1;
                    for (int i = 0; i < attempts.size(); i++) {
                        end(i);
                    }
                }
            }
            if (!isDone) {
                at(Math.max(now + MILLI, plan.nextTimer(now)), time -> {
                    if (!isDone) {
                        execute(plan.timerExpired(now));
                    }
                });
            }
        }

        private void send(BackendServer server) {
            int number = attempts.size();
            attempts.add(new Attempt(server, now));
            ended.add(false);
            vm.chooser.stats(server).requestStarted(now);
            mesh.loadChanged(vm.index, server, vm.chooser.stats(server).inFlight(), true, now);
            Server state = states.get(server);
            state.lastRequest = now;
            state.running++;
            boolean isOfEpisode = now < state.episodeEnd && random.nextDouble() < FAILING_SHARE;
            double factor = 0.7 + 0.6 * random.nextDouble();
            if (random.nextDouble() < OUTLIER_SHARE) {
                factor *= OUTLIER_FACTOR;
            }
            long rounds = 1L + (state.running - 1) / SLOTS;
            long took = 2 * LATENCY + (isOfEpisode ? 0 : (long) (rounds * WORK * factor));
            boolean isFailure = isOfEpisode || random.nextDouble() < FAILURE_SHARE;
            failedInEpisodes += isOfEpisode ? 1 : 0;
            at(now + took, time -> answered(number, isFailure));
        }

        private void end(int number) {
            if (ended.get(number)) {
                return;
            }
            ended.set(number, true);
            BackendServer server = attempts.get(number).server;
            states.get(server).running--;
            vm.chooser.stats(server).requestEnded();
            mesh.loadChanged(vm.index, server, vm.chooser.stats(server).inFlight(), false, now);
        }

        private void answered(int number, boolean isFailure) {
            if (ended.get(number)) {
                return;
            }
            Attempt attempt = attempts.get(number);
            end(number);
            vm.chooser.stats(attempt.server).recordReportedLoad(states.get(attempt.server).running, now);
            if (isFailure) {
                vm.observed(attempt.server, Observation.FAILURE);
                execute(plan.failed(number, now));
                return;
            }
            if (!isStallReported && vm.chooser.isSuccessCurrent(attempt.server, attempt.sentNanos)) {
                vm.observed(attempt.server, Observation.SUCCESS);
            }
            vm.latency.add(now - attempt.sentNanos);
            isAnswered = true;
            execute(plan.answered(number));
        }

        @Override
        public Optional<BackendServer> choose(Set<String> excluded, boolean isLastAttempt) {
            return vm.chooser.choose(servers, kind, isLastAttempt, excluded, now);
        }

        @Override
        public boolean canRetry() {
            return vm.budget.canAcquire("rota", vm.size, now);
        }

        @Override
        public boolean tryAcquireRetry(boolean isProvedNotRun) {
            return vm.budget.tryAcquire("rota", vm.size, now);
        }
    }
}
