package io.coppershelf.dispatch;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.RequestKind;
import io.coppershelf.health.estimate.HealthEstimates;
import io.coppershelf.health.estimate.Observation;
import io.coppershelf.testing.Catalogs;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Load: a service of 14 servers with gray failures, of which some name limits. 36 VMs send 55 requests a second that
 * may run once and take half a second; at any time 30% of the servers fail nine tenths of their requests, others every
 * nine seconds. Virtual time; a VM learns of a limit from an answer, and tells the others.
 */
final class LimitedServiceLoadTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final int VMS = 36;
    private static final int SERVERS = 14;
    private static final int PER_SECOND = 55;
    private static final double FAILING_SHARE = 0.3;
    private static final long END = 60 * SECOND;

    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at));
    private final List<BackendServer> servers = new ArrayList<>();
    private final List<ServerChooser> vms = new ArrayList<>();
    private final Set<Integer> failing = new HashSet<>();
    private final FleetLoad load = new FleetLoad();
    private final HealthEstimates estimates = new HealthEstimates();
    private Random random = new Random();
    private int limited;
    private int sent;
    private int served;
    private int refused;

    /** Guards against limits of some servers that cost callers more than the room which these servers take away. */
    @Test
    void limitsOfUnderHalfOfTheServersCostCallersNoMoreThanOneInAHundred() {
        double unlimited = servedShare(0);
        for (int limitedServers = 1; limitedServers <= 6; limitedServers++) {
            assertThat(servedShare(limitedServers)).isAtLeast(unlimited - 0.01);
        }
    }

    @Test
    void nothingIsRefusedWhileServersWithoutALimitHaveRoom() {
        LimitedServiceLoadTest run = new LimitedServiceLoadTest();
        run.play(1, 6);
        assertThat(run.refused).isEqualTo(0);
    }

    private static double servedShare(int limitedServers) {
        int sent = 0;
        int served = 0;
        for (int seed = 0; seed < 10; seed++) {
            LimitedServiceLoadTest run = new LimitedServiceLoadTest();
            run.play(seed, limitedServers);
            sent += run.sent;
            served += run.served;
        }
        return (double) served / sent;
    }

    private void play(int seed, int limitedServers) {
        random = new Random(seed);
        limited = limitedServers;
        for (int i = 0; i < SERVERS; i++) {
            servers.add(Catalogs.server("i-" + i, "here"));
        }
        for (int rank = 0; rank < VMS; rank++) {
            FleetPosition position = new FleetPosition(rank, VMS);
            vms.add(new ServerChooser(
                    "here", estimates, load, new IdleServerTracker(), new ServerLimits(), () -> position, random));
        }
        for (long at = 0; at < END; at += 9 * SECOND) {
            events.add(new Event(at, this::changeFailing));
        }
        long at = 0;
        while (at < END) {
            at += (long) (-Math.log(1 - random.nextDouble()) * SECOND / PER_SECOND);
            long now = at;
            events.add(new Event(now, () -> request(now)));
        }
        while (!events.isEmpty()) {
            events.poll().action.run();
        }
    }

    private void changeFailing() {
        failing.clear();
        while (failing.size() < Math.round(FAILING_SHARE * SERVERS)) {
            failing.add(random.nextInt(SERVERS));
        }
    }

    private void request(long now) {
        ServerChooser vm = vms.get(random.nextInt(VMS));
        sent++;
        Optional<BackendServer> chosen = vm.choose(servers, RequestKind.ONCE, true, Set.of(), now);
        if (chosen.isEmpty()) {
            refused++;
            return;
        }
        BackendServer server = chosen.get();
        ServerStats stats = vm.stats(server);
        stats.requestStarted(now);
        load.recordInFlight(vm, stats.code(), stats.inFlight(), now);
        boolean fails = failing.contains(servers.indexOf(server)) && random.nextDouble() < 0.9;
        long duration = fails ? 2 * MILLI : (long) (500 * MILLI * (0.7 + 0.6 * random.nextDouble()));
        events.add(new Event(now + duration, () -> answered(vm, server, !fails, now + duration)));
    }

    private void answered(ServerChooser vm, BackendServer server, boolean isSuccess, long now) {
        served += isSuccess ? 1 : 0;
        ServerStats stats = vm.stats(server);
        stats.requestEnded();
        load.recordInFlight(vm, stats.code(), stats.inFlight(), now);
        estimates.observe(server.key(), isSuccess ? Observation.SUCCESS : Observation.FAILURE, now);
        Optional<Double> limit = limit(servers.indexOf(server), now);
        if (vm.recordLimit(server, limit, now)) {
            events.add(new Event(
                    now + 10 * MILLI, () -> vms.forEach(other -> other.recordLimit(server, limit, now + 10 * MILLI))));
        }
    }

    private Optional<Double> limit(int server, long now) {
        boolean isLimited = server < limited && now >= 8 * SECOND && now < 50 * SECOND;
        return isLimited ? Optional.of(1 + 0.5 * server) : Optional.empty();
    }

    private record Event(long at, Runnable action) {}
}
