package io.coppershelf.dispatch;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.RequestKind;
import io.coppershelf.catalog.Route;
import io.coppershelf.health.estimate.HealthEstimates;
import io.coppershelf.testing.Catalogs;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** A fleet in virtual time: new connections from one VM, or from all, to a part of the servers fail after a while. */
final class PathLossFleet {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long CUT = 3 * SECOND;
    private static final long END = 15 * SECOND;
    private static final int VMS = 20;
    private static final int SERVERS = 40;
    private static final int SLOTS = 6;
    static final double TYPICAL_NANOS = 200.0 * MILLI;
    private static final Route ROUTE = Catalogs.route(RequestKind.ONCE);

    private final Random random = new Random(5);
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final List<BackendServer> servers = new ArrayList<>();
    private final List<Vm> vms = new ArrayList<>();
    private final Map<String, Integer> running = new HashMap<>();
    private final Set<String> out = new HashSet<>();
    private final boolean isOutForAll;
    private long now;
    private int relays;
    private int lateRelays;

    /**
     * Creates a fleet and plays its time to the end.
     *
     * @param outShare the share of the servers that is out of reach
     * @param isOutForAll whether all VMs do not reach them; otherwise the first one alone
     * @param load the load as a share of the slots of all servers
     */
    PathLossFleet(double outShare, boolean isOutForAll, double load) {
        this.isOutForAll = isOutForAll;
        play(outShare, load);
    }

    /** Returns all VMs; the first one loses paths. */
    List<Vm> vms() {
        return vms;
    }

    Random random() {
        return random;
    }

    List<BackendServer> servers() {
        return servers;
    }

    /** Returns the number of requests that each server runs. */
    Map<String, Integer> running() {
        return running;
    }

    long now() {
        return now;
    }

    /** Counts a request that a VM hands to another one. */
    void recordRelay() {
        relays++;
        lateRelays += now >= CUT + 2 * SECOND ? 1 : 0;
    }

    /** Returns the number of requests that VMs handed to others. */
    int relays() {
        return relays;
    }

    /** Returns the same number from two seconds after the loss on. */
    int lateRelays() {
        return lateRelays;
    }

    /** Returns the share of the requests of the other VMs that were served since the loss. */
    double servedShareOfOthers() {
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
        new PathLossRequest(this, vm, ROUTE.maxServers(), false, end -> vm.ended(end, arrival)).start();
    }

    private void scheduleChecks(Vm vm, long time) {
        at(time, () -> {
            vm.poll();
            scheduleChecks(vm, time + 50 * MILLI);
        });
    }

    /** Returns whether new connections from the VM to the server succeed now. */
    boolean reaches(Vm vm, BackendServer server) {
        return !out.contains(server.id()) || (!isOutForAll && vm.rank > 0);
    }

    /** Schedules an action. */
    void at(long time, Runnable action) {
        events.add(new Event(time, events.size() + 1000L * now, action));
    }

    private record Event(long at, long number, Runnable action) {}

    /** A VM with its connections to servers. */
    final class Vm {
        private final int rank;
        final InetSocketAddress address;
        final FleetLoad load = new FleetLoad();
        final ServerPaths paths = new ServerPaths();
        final ServerReachability reachability = new ServerReachability(random);
        final ServerChooser chooser;
        final ReachableChooser reachable;
        final Map<String, Integer> idle = new HashMap<>();
        private final Map<String, List<PathLossRequest>> waiting = new HashMap<>();
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

        void ended(PathLossRequest.End end, long arrival) {
            if (arrival < CUT) {
                return;
            }
            received++;
            served += end.isServed() ? 1 : 0;
            if (!end.isServed() && arrival >= CUT + SECOND) {
                refusals.add(now - arrival);
            }
        }

        /** Returns the requests of callers since the loss. */
        int received() {
            return received;
        }

        /** Returns whether requests were refused from a second after the loss on. */
        boolean hasRefusals() {
            return !refusals.isEmpty();
        }

        /** Returns the share of the requests that were served since the loss. */
        double servedShare() {
            return (double) served / received;
        }

        /** Returns the time to a refusal from a second after the loss on. */
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

        void acquire(BackendServer server, PathLossRequest request) {
            if (idle.getOrDefault(server.id(), 0) > 0) {
                idle.merge(server.id(), -1, Integer::sum);
                request.connected(server);
                return;
            }
            List<PathLossRequest> waiters = waiting.computeIfAbsent(server.id(), id -> new ArrayList<>());
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
            List<PathLossRequest> waiters = waiting.getOrDefault(id, List.of());
            List<PathLossRequest> ended = List.copyOf(waiters);
            if (!ended.isEmpty()) {
                waiters.clear();
                ended.forEach(PathLossRequest::notSent);
            }
        }

        void loadChanged(BackendServer server) {
            ServerStats stats = chooser.stats(server);
            vms.stream()
                    .filter(other -> other != this)
                    .forEach(other -> other.load.recordInFlight(this, stats.code(), stats.inFlight(), now));
        }
    }
}
