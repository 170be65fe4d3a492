package io.coppershelf.dispatch;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.RequestKind;
import io.coppershelf.catalog.Route;
import io.coppershelf.health.estimate.HealthEstimates;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.testing.Catalogs;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Scenario in virtual time: new connections from one VM, or from all, to a part of a service's servers fail. */
final class PathLossLoadTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long CUT = 3 * SECOND;
    private static final long END = 15 * SECOND;
    private static final int VMS = 20;
    private static final int SERVERS = 40;
    private static final int SLOTS = 6;
    private static final double TYPICAL_NANOS = 200.0 * MILLI;
    private static final Route ROUTE = Catalogs.route(RequestKind.ONCE);

    private final Random random = new Random(5);
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final List<BackendServer> servers = new ArrayList<>();
    private final List<Vm> vms = new ArrayList<>();
    private final Map<String, Integer> running = new HashMap<>();
    private final Set<String> out = new HashSet<>();
    private boolean isOutForAll;
    private long now;
    private int relays;
    private int lateRelays;

    /** Guards against callers who are served far worse since the paths of their VM to some servers are down. */
    @ParameterizedTest
    @ValueSource(doubles = {0.3, 0.6, 0.9})
    void callersOfAVmThatLosesAPartOfTheServersAreServedLikeThoseOfOthers(double share) {
        play(share, 0.7);
        assertThat(vms.get(0).servedShare()).isAtLeast(0.95 * servedShareOfOthers());
        assertThat(vms.get(0).refusalP99Millis()).isAtMost(50);
    }

    /** Guards against late refusals while servers are short. */
    @ParameterizedTest
    @ValueSource(doubles = {0.3, 0.6, 0.9})
    void callersOfAVmThatLosesServersAreRefusedAtOnceUnderOverload(double share) {
        play(share, 1.3);
        assertThat(vms.get(0).refusals).isNotEmpty();
        assertThat(vms.get(0).servedShare()).isAtLeast(0.95 * servedShareOfOthers());
        assertThat(vms.get(0).refusalP99Millis()).isAtMost(50);
    }

    /** Guards against VMs that hand requests to each other since servers have crashed. */
    @Test
    void serversThatNoVmReachesCauseNoRelays() {
        isOutForAll = true;
        play(0.3, 0.6);
        assertThat(lateRelays).isEqualTo(0);
        assertThat(vms.stream().mapToDouble(Vm::servedShare).min().getAsDouble())
                .isAtLeast(0.95);
    }

    /** Guards against requests that each wait, or travel through the fleet, to learn that a whole service is down. */
    @Test
    void requestsOfAServiceThatNoVmReachesAreRefusedAtOnce() {
        isOutForAll = true;
        play(1, 0.6);
        for (Vm vm : vms) {
            assertThat(vm.refusals).isNotEmpty();
            assertThat(vm.refusalP99Millis()).isAtMost(50);
        }
        long requests = vms.stream().mapToLong(vm -> vm.received).sum();
        assertThat(relays).isLessThan((int) requests / 10);
    }

    private double servedShareOfOthers() {
        return vms.stream().skip(1).mapToDouble(Vm::servedShare).average().getAsDouble();
    }

    private void play(double outShare, double load) {
        for (int i = 0; i < SERVERS; i++) {
            servers.add(Catalogs.server("i-" + i, i % 2 == 0 ? "here" : "there"));
        }
        for (int rank = 0; rank < VMS; rank++) {
            vms.add(new Vm(rank));
            scheduleChecks(vms.get(rank), rank * MILLI);
        }
        at(
                CUT,
                () -> servers.subList(0, (int) Math.round(outShare * SERVERS)).forEach(server -> {
                    out.add(server.id());
                    vms.stream().filter(vm -> !reaches(vm, server)).forEach(vm -> vm.idle.remove(server.id()));
                }));
        double perNano = load * SERVERS * SLOTS / TYPICAL_NANOS;
        for (double time = 0; time < END; time += -Math.log(1 - random.nextDouble()) / perNano) {
            long arrival = (long) time;
            at(arrival, () -> arrive(vms.get(random.nextInt(VMS)), arrival));
        }
        while (!events.isEmpty() && events.peek().at < END + 5 * SECOND) {
            Event event = events.poll();
            now = event.at;
            event.action.run();
        }
    }

    private void arrive(Vm vm, long arrival) {
        new Request(vm, ROUTE.maxServers(), false, end -> vm.ended(end, arrival)).start();
    }

    private void scheduleChecks(Vm vm, long time) {
        at(time, () -> {
            vm.poll();
            scheduleChecks(vm, time + 50 * MILLI);
        });
    }

    private boolean reaches(Vm vm, BackendServer server) {
        return !out.contains(server.id()) || (!isOutForAll && vm.rank > 0);
    }

    private void at(long time, Runnable action) {
        events.add(new Event(time, events.size() + 1000L * now, action));
    }

    private record Event(long at, long number, Runnable action) {}

    /** The end of a request: served, or refused by the system. */
    private record End(boolean isServed, Optional<ErrorKind> error, int serversReached) {}

    /** A VM with its connections to servers. */
    private final class Vm {
        private final int rank;
        private final InetSocketAddress address;
        private final FleetLoad load = new FleetLoad();
        private final ServerPaths paths = new ServerPaths();
        private final ServerReachability reachability = new ServerReachability(random);
        private final ServerChooser chooser;
        private final ReachableChooser reachable;
        private final Map<String, Integer> idle = new HashMap<>();
        private final Map<String, List<Request>> waiting = new HashMap<>();
        private final List<Long> refusals = new ArrayList<>();
        private int received;
        private int served;

        Vm(int rank) {
            this.rank = rank;
            address = new InetSocketAddress("10.0.0." + (rank + 1), 1);
            FleetPosition position = new FleetPosition(rank, VMS);
            chooser = new ServerChooser(
                    "here",
                    new HealthEstimates(),
                    load,
                    new IdleServerTracker(),
                    new ServerLimits(),
                    () -> position,
                    random);
            reachable = new ReachableChooser(chooser, paths);
        }

        void ended(End end, long arrival) {
            if (arrival < CUT) {
                return;
            }
            received++;
            served += end.isServed ? 1 : 0;
            if (!end.isServed && arrival >= CUT + SECOND) {
                refusals.add(now - arrival);
            }
        }

        double servedShare() {
            return (double) served / received;
        }

        long refusalP99Millis() {
            List<Long> sorted = refusals.stream().sorted().toList();
            return sorted.isEmpty() ? 0 : sorted.get((int) (0.99 * (sorted.size() - 1))) / MILLI;
        }

        void poll() {
            boolean wasCutOff = reachability.isCutOff();
            List<BackendServer> checks = new ArrayList<>(reachability.pollChecks(() -> servers, now));
            checks.addAll(paths.pollChecks(now));
            checks.forEach(server -> open(server, () -> idle.merge(server.id(), 1, Integer::sum)));
            if (wasCutOff && !reachability.isCutOff()) {
                paths.recheckAll(now);
            }
        }

        void acquire(BackendServer server, Request request) {
            if (idle.getOrDefault(server.id(), 0) > 0) {
                idle.merge(server.id(), -1, Integer::sum);
                request.connected(server);
                return;
            }
            List<Request> waiters = waiting.computeIfAbsent(server.id(), id -> new ArrayList<>());
            waiters.add(request);
            open(server, () -> {
                if (waiters.remove(request)) {
                    request.connected(server);
                } else {
                    idle.merge(server.id(), 1, Integer::sum);
                }
            });
        }

        private void open(BackendServer server, Runnable onOpen) {
            if (reaches(this, server)) {
                at(now + MILLI, () -> {
                    boolean wasCutOff = reachability.isCutOff();
                    reachability.connected(server.id(), now);
                    paths.connected(server, now);
                    if (wasCutOff) {
                        paths.recheckAll(now);
                    }
                    onOpen.run();
                });
                return;
            }
            at(now + 400 * MILLI, () -> {
                if (paths.isClear(server) || reachability.isChecking(server.id())) {
                    reachability.connectFailed(server.id(), SERVERS);
                }
                List<BackendServer> failed = new ArrayList<>(paths.connectFailed(server, () -> servers, now));
                failed.add(server);
                failed.forEach(other -> endWaits(other.id()));
                poll();
            });
        }

        private void endWaits(String id) {
            List<Request> waiters = waiting.getOrDefault(id, List.of());
            List<Request> ended = List.copyOf(waiters);
            if (!ended.isEmpty()) {
                waiters.clear();
                ended.forEach(Request::notSent);
            }
        }

        void loadChanged(BackendServer server) {
            ServerStats stats = chooser.stats(server);
            vms.stream()
                    .filter(other -> other != this)
                    .forEach(other -> other.load.recordInFlight(this, stats.code(), stats.inFlight(), now));
        }
    }

    /** A request at one VM, executed as the plan says. */
    private final class Request implements AttemptAllocator {
        private final Vm vm;
        private final boolean isRelayed;
        private final Consumer<End> onEnd;
        private final RequestPlan plan;
        private int attempt;
        private BackendServer server;

        Request(Vm vm, int maxServers, boolean isRelayed, Consumer<End> onEnd) {
            this.vm = vm;
            this.isRelayed = isRelayed;
            this.onEnd = onEnd;
            plan = new RequestPlan(ROUTE, maxServers, this, now + 5 * SECOND, new TypicalLatency());
        }

        void start() {
            execute(() -> plan.start(now));
        }

        void notSent() {
            release();
            execute(() -> plan.notSent(attempt, now));
        }

        void connected(BackendServer target) {
            int busy = running.getOrDefault(target.id(), 0);
            if (busy >= SLOTS) {
                at(now + MILLI, () -> {
                    freed(target);
                    execute(() -> plan.notRun(attempt, now));
                });
                return;
            }
            running.put(target.id(), busy + 1);
            at(now + (long) (TYPICAL_NANOS * (0.7 + 0.6 * random.nextDouble())), () -> {
                running.merge(target.id(), -1, Integer::sum);
                freed(target);
                vm.paths.answered(target, now);
                execute(() -> plan.answered(attempt));
            });
        }

        private void freed(BackendServer target) {
            release();
            if (reaches(vm, target)) {
                vm.idle.merge(target.id(), 1, Integer::sum);
            }
        }

        private void release() {
            vm.chooser.stats(server).requestEnded();
            vm.loadChanged(server);
        }

        private void execute(Supplier<List<PlanStep>> steps) {
            for (PlanStep step : steps.get()) {
                if (step instanceof PlanStep.Send send) {
                    attempt = send.attempt();
                    server = send.server();
                    vm.chooser.stats(server).requestStarted(now);
                    vm.loadChanged(server);
                    vm.acquire(server, this);
                } else if (step instanceof PlanStep.Relay relay) {
                    attempt = relay.attempt();
                    relay(relay);
                } else if (step instanceof PlanStep.Fail fail) {
                    onEnd.accept(new End(false, Optional.of(fail.kind()), plan.serversReached()));
                } else if (step instanceof PlanStep.Deliver) {
                    onEnd.accept(new End(true, Optional.empty(), plan.serversReached()));
                }
            }
        }

        private void relay(PlanStep.Relay relay) {
            relays++;
            lateRelays += now >= CUT + 2 * SECOND ? 1 : 0;
            Vm other = vms.stream()
                    .filter(candidate -> candidate.address.equals(relay.vm()))
                    .findFirst()
                    .orElseThrow();
            Consumer<End> back = end -> at(now + 2 * MILLI, () -> relayEnded(relay.vm(), end));
            at(now + 2 * MILLI, () -> new Request(other, relay.servers(), true, back).start());
        }

        private void relayEnded(InetSocketAddress other, End end) {
            boolean isOutOfReach = end.error.filter(ErrorKind.NO_SERVER::equals).isPresent();
            if (isOutOfReach && end.serversReached == 0) {
                vm.reachable.relays().notReached("ledger", other, now);
            } else {
                vm.reachable.relays().reached("ledger", other);
            }
            execute(() -> end.isServed
                    ? plan.answered(attempt)
                    : plan.relayNotRun(attempt, end.serversReached, Optional.empty(), now));
        }

        @Override
        public Optional<BackendServer> choose(Set<String> excluded, boolean isLastAttempt) {
            return vm.reachable.choose(servers, RequestKind.ONCE, isLastAttempt, excluded, now);
        }

        @Override
        public Optional<Duration> pause() {
            return Optional.empty();
        }

        @Override
        public Optional<Duration> quarantine() {
            return Optional.empty();
        }

        @Override
        public boolean isCutOff() {
            return vm.reachability.isCutOff();
        }

        @Override
        public boolean isOutOfReach(Set<String> excluded) {
            return vm.reachable.isOutOfReach(servers, excluded, now);
        }

        @Override
        public Optional<InetSocketAddress> relay(Set<InetSocketAddress> excluded) {
            if (isRelayed) {
                return Optional.empty();
            }
            return vm.reachable.relays().choose("ledger", excluded, this::candidate, now);
        }

        private Optional<InetSocketAddress> candidate(Set<InetSocketAddress> avoided) {
            List<InetSocketAddress> left = vms.stream()
                    .filter(other -> other != vm && !other.reachability.isCutOff())
                    .map(other -> other.address)
                    .filter(address -> !avoided.contains(address))
                    .toList();
            return left.isEmpty() ? Optional.empty() : Optional.of(left.get(random.nextInt(left.size())));
        }

        @Override
        public boolean canRetry() {
            return true;
        }

        @Override
        public boolean tryAcquireRetry() {
            return true;
        }
    }
}
