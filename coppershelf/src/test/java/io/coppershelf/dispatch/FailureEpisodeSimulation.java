package io.coppershelf.dispatch;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.RequestKind;
import io.coppershelf.dispatch.FailureEpisodeResult.Cause;
import io.coppershelf.health.estimate.HealthEstimates;
import io.coppershelf.health.estimate.Observation;
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

/**
 * A fleet in virtual time some of whose servers have failure episodes. Reports reach the VMs with the delays and the
 * audience that the mesh gives them.
 */
final class FailureEpisodeSimulation {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long WARM_UP = 10 * SECOND;
    private static final long END = 130 * SECOND;
    private static final int DATA_CENTRES = 4;
    private static final int MAX_FULL_FLEET = 48;
    private static final int SERVER_QUEUE = 8;
    private static final int MAX_SERVERS = 3;
    private static final double FAILING_SHARE = 0.9;
    private static final double FAILURE_SHARE = 0.012;
    private static final double RETRYABLE_SHARE = 0.05;

    /**
     * The size and load of a fleet.
     *
     * @param perSecond the requests a second that can't be retried
     * @param failingShare the share of the servers that have episodes
     * @param intervalNanos the mean time from the begin of an episode to that of the next one
     * @param lengthNanos the mean length of an episode
     */
    record Fleet(
            int vms,
            int servers,
            int slots,
            double perSecond,
            long workNanos,
            double failingShare,
            long intervalNanos,
            long lengthNanos) {}

    private final Fleet fleet;
    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final List<BackendServer> list = new ArrayList<>();
    private final Map<String, Server> servers = new HashMap<>();
    private final List<Vm> vms = new ArrayList<>();
    private final FailureEpisodeResult result = new FailureEpisodeResult();
    private long now;
    private long number;

    /** Creates a fleet and plays its time to the end. */
    FailureEpisodeSimulation(Fleet fleet, long seed) {
        this.fleet = fleet;
        random = new Random(seed);
        for (int i = 0; i < fleet.servers(); i++) {
            BackendServer server = new BackendServer(
                    "i-" + i, 1, "ledger", new InetSocketAddress(1), "d" + i % DATA_CENTRES, fleet.slots(), true, 0);
            list.add(server);
            servers.put(server.id(), new Server());
        }
        for (int i = 0; i < fleet.vms(); i++) {
            vms.add(new Vm("d" + i % DATA_CENTRES, new FleetPosition(i, fleet.vms())));
        }
        play();
    }

    /** Returns what happened to the requests. */
    FailureEpisodeResult result() {
        return result;
    }

    private void play() {
        list.stream()
                .limit(Math.round(fleet.failingShare() * list.size()))
                .forEach(
                        server -> at((long) (random.nextDouble() * fleet.intervalNanos()), () -> beginEpisode(server)));
        double perNano = fleet.perSecond() * (1 + RETRYABLE_SHARE) / SECOND;
        for (double time = 0; time < END; time += -Math.log(1 - random.nextDouble()) / perNano) {
            boolean isRetryable = random.nextDouble() < RETRYABLE_SHARE;
            Vm vm = vms.get(random.nextInt(vms.size()));
            long arrival = (long) time;
            at(arrival, () -> vm.send(new Request(arrival, isRetryable, new HashSet<>())));
        }
        for (long time = WARM_UP; time < END; time += 100 * MILLI) {
            at(time, this::checkFloor);
        }
        if (isLarge()) {
            vms.forEach(vm -> at((long) (random.nextDouble() * SECOND / 2), vm::receiveSummaries));
        }
        while (!events.isEmpty() && events.peek().at < END) {
            Event event = events.poll();
            now = event.at;
            event.action.run();
        }
    }

    private void beginEpisode(BackendServer server) {
        Server state = servers.get(server.id());
        state.episodeStart = now;
        state.episodeEnd = now + (long) (fleet.lengthNanos() * (0.8 + 0.4 * random.nextDouble()));
        state.firstFailure = Long.MAX_VALUE;
        if (now >= WARM_UP) {
            result.countEpisode();
        }
        at(now + (long) (fleet.intervalNanos() * (0.8 + 0.4 * random.nextDouble())), () -> beginEpisode(server));
    }

    private void checkFloor() {
        List<Server> healthy = servers.values().stream()
                .filter(server -> server.episodeEnd < now - 2 * SECOND)
                .toList();
        long used = healthy.stream()
                .filter(server -> server.lastRequest >= now - 2 * SECOND)
                .count();
        result.countWindow(used < 0.7 * healthy.size(), now);
    }

    private boolean isLarge() {
        return fleet.vms() > MAX_FULL_FLEET;
    }

    private void at(long time, Runnable action) {
        events.add(new Event(time, number++, action));
    }

    private record Event(long at, long number, Runnable action) {}

    private record Request(long arrival, boolean isRetryable, Set<String> used) {}

    private record Sent(Request request, Vm vm, BackendServer to, long at, Cause cause) {}

    private final class Server {
        private final List<Sent> queue = new ArrayList<>();
        private int running;
        private long episodeStart = Long.MIN_VALUE;
        private long episodeEnd = Long.MIN_VALUE;
        private long firstFailure = Long.MAX_VALUE;
        private long lastRequest = Long.MIN_VALUE;

        void arrived(Sent sent) {
            lastRequest = now;
            if (now < episodeEnd && random.nextDouble() < FAILING_SHARE) {
                sent.vm.answered(sent, Observation.FAILURE, load(), true);
            } else if (running < fleet.slots()) {
                start(sent);
            } else if (queue.size() < SERVER_QUEUE) {
                queue.add(sent);
            } else {
                sent.vm.answered(sent, Observation.SHED, load(), false);
            }
        }

        private int load() {
            return running + queue.size();
        }

        private void start(Sent sent) {
            running++;
            at(now + (long) (fleet.workNanos() * (0.5 + random.nextDouble())), () -> {
                running--;
                if (!queue.isEmpty()) {
                    start(queue.remove(0));
                }
                boolean isFailure = random.nextDouble() < FAILURE_SHARE;
                sent.vm.answered(sent, isFailure ? Observation.FAILURE : Observation.SUCCESS, load(), false);
            });
        }
    }

    private final class Vm {
        private final String dataCentre;
        private final HealthEstimates estimates = new HealthEstimates();
        private final FleetLoad load = new FleetLoad();
        private final IdleServerTracker idleServers = new IdleServerTracker();
        private final Map<String, Long> knownFailures = new HashMap<>();
        private final Map<String, List<Runnable>> unreported = new HashMap<>();
        private final ServerChooser chooser;

        Vm(String dataCentre, FleetPosition position) {
            this.dataCentre = dataCentre;
            if (isLarge()) {
                idleServers.limitTo(dataCentre::equals);
            }
            chooser = new ServerChooser(
                    dataCentre, estimates, load, idleServers, new ServerLimits(), () -> position, random);
        }

        void send(Request request) {
            boolean isLastAttempt = !request.isRetryable || request.used.size() >= MAX_SERVERS - 1;
            RequestKind kind = request.isRetryable ? RequestKind.REPEATABLE : RequestKind.ONCE;
            List<BackendServer> idle = chooser.idleServers(list, kind, isLastAttempt, now);
            BackendServer server =
                    chooser.choose(list, kind, isLastAttempt, request.used, now).orElseThrow();
            Cause cause = cause(server, idle.contains(server));
            request.used.add(server.id());
            chooser.stats(server).requestStarted(now);
            idleServers.recordRequest(chooser.stats(server).code(), now);
            reportLoad(server, 5 * MILLI);
            Sent sent = new Sent(request, this, server, now, cause);
            at(now + latency(server), () -> servers.get(server.id()).arrived(sent));
        }

        private Cause cause(BackendServer server, boolean isIdle) {
            Server state = servers.get(server.id());
            if (isIdle) {
                return Cause.FLOOR;
            }
            if (knownFailures.getOrDefault(server.id(), Long.MIN_VALUE) >= state.episodeStart) {
                return chooser.isSuspected(server, now) ? Cause.SUSPECTED : Cause.RETURNED;
            }
            return state.firstFailure < now ? Cause.UNKNOWN : Cause.FIRST;
        }

        private long latency(BackendServer server) {
            return server.dataCentre().equals(dataCentre) ? MILLI / 5 : 7 * MILLI / 5;
        }

        void answered(Sent sent, Observation observation, int reportedLoad, boolean isOfEpisode) {
            at(now + latency(sent.to), () -> {
                chooser.stats(sent.to).requestEnded();
                chooser.stats(sent.to).recordReportedLoad(reportedLoad, now);
                reportLoad(sent.to, (isLarge() ? 250 : 100) * MILLI);
                boolean isEvidence = observation.isNegative() || chooser.isSuccessCurrent(sent.to, sent.at);
                if (isEvidence && estimates.observe(sent.to.key(), observation, now)) {
                    reportObservation(sent.to, observation, isOfEpisode);
                }
                ended(sent, observation, isOfEpisode);
            });
        }

        private void ended(Sent sent, Observation observation, boolean isOfEpisode) {
            Server state = servers.get(sent.to.id());
            if (isOfEpisode) {
                knownFailures.put(sent.to.id(), now);
                state.firstFailure = Math.min(state.firstFailure, now);
            }
            boolean isFailure = observation == Observation.FAILURE;
            boolean mayRepeat = observation == Observation.SHED || (isFailure && sent.request.isRetryable);
            if (mayRepeat && sent.request.used.size() < MAX_SERVERS) {
                send(sent.request);
            } else if (now >= WARM_UP) {
                result.countRequest(observation, now - sent.request.arrival, now);
                if (isOfEpisode && !sent.request.isRetryable) {
                    result.countFailure(sent.at < state.episodeStart ? Cause.IN_FLIGHT : sent.cause);
                }
            }
        }

        private void reportLoad(BackendServer server, long delay) {
            report(server, delay, () -> {
                long code = chooser.stats(server).code();
                int inFlight = chooser.stats(server).inFlight();
                receivers(server).forEach(vm -> {
                    if (vm.load.recordInFlight(this, code, inFlight, now)) {
                        vm.idleServers.recordRequest(code, now);
                    }
                });
            });
        }

        private void reportObservation(BackendServer server, Observation observation, boolean isOfEpisode) {
            long delay = observation.isNegative() ? 5 : isLarge() ? 250 : 100;
            report(
                    server,
                    delay * MILLI,
                    () -> receivers(server).forEach(vm -> {
                        vm.estimates.observe(server.key(), observation, now);
                        if (isOfEpisode) {
                            vm.knownFailures.put(server.id(), now);
                        }
                    }));
        }

        /** Applies all that is unreported on the servers of a data centre after the delay. */
        private void report(BackendServer server, long delay, Runnable action) {
            unreported
                    .computeIfAbsent(server.dataCentre(), key -> new ArrayList<>())
                    .add(action);
            at(now + delay + MILLI, () -> {
                List<Runnable> due = unreported.put(server.dataCentre(), new ArrayList<>());
                due.forEach(Runnable::run);
            });
        }

        private List<Vm> receivers(BackendServer server) {
            return vms.stream()
                    .filter(vm -> vm != this)
                    .filter(vm ->
                            !isLarge() || vm.dataCentre.equals(dataCentre) || vm.dataCentre.equals(server.dataCentre()))
                    .toList();
        }

        void receiveSummaries() {
            for (BackendServer server : list) {
                if (!server.dataCentre().equals(dataCentre)) {
                    Vm source = vms.stream()
                            .filter(vm -> vm.dataCentre.equals(server.dataCentre()))
                            .findFirst()
                            .orElseThrow();
                    long code = chooser.stats(server).code();
                    int inFlight = source.chooser.stats(server).inFlight() + source.load.inFlightOfOthers(code);
                    load.recordSummary(code, inFlight, now);
                    load.expire(now);
                    double probability =
                            source.estimates.estimate(server.key(), now).unhealthyProbabilityAt(now);
                    estimates.adopt(server.key(), Math.round(1000 * probability) / 1000.0, now);
                    source.knownFailures.computeIfPresent(server.id(), (id, at) -> {
                        knownFailures.merge(id, at, Math::max);
                        return at;
                    });
                }
            }
            at(now + SECOND / 2, this::receiveSummaries);
        }
    }
}
