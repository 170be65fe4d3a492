package io.coppershelf.dispatch;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.RequestKind;
import io.coppershelf.health.estimate.HealthEstimates;
import io.coppershelf.testing.Catalogs;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Scenario: some servers of a service limit the requests that they get from all VMs together. Virtual time; a VM learns
 * of a limit from an answer, and tells the others.
 */
final class FleetLimitTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long WINDOW = 4 * SECOND;
    /** Time after the first naming from which the limit holds. */
    private static final long SETTLED = 3 * SECOND;

    private static final long WORK = 500 * MILLI;
    private static final long MESSAGE_DELAY = 10 * MILLI;

    private final List<BackendServer> servers = new ArrayList<>();
    private final List<Vm> vms = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at));
    private final List<Arrival> arrivals = new ArrayList<>();
    private Random random = new Random(1);
    private int refused;

    @Test
    void fleetOf36KeepsTheLimits() {
        for (int seed = 0; seed < 20; seed++) {
            play(seed, 36, 55, 0);
            assertLimitsAreKept();
        }
    }

    @Test
    void fleetOf142KeepsTheLimits() {
        for (int seed = 0; seed < 5; seed++) {
            play(seed, 142, 200, 0);
            assertLimitsAreKept();
        }
    }

    /** Guards against VMs that all use a saved turn when requests come after a quiet time. */
    @Test
    void burstAfterAQuietTimeKeepsTheLimits() {
        for (int seed = 0; seed < 20; seed++) {
            play(seed, 36, 300, 20 * SECOND);
            assertLimitsAreKept();
        }
    }

    @Test
    void limitedServersGetNineTenthsOfTheirLimitUnderLoad() {
        play(3, 36, 110, 0);
        assertThat(sent(servers.get(0), 10 * SECOND, 50 * SECOND)).isAtLeast(36);
        assertThat(sent(servers.get(1), 10 * SECOND, 50 * SECOND)).isAtLeast(90);
        assertThat(refused).isEqualTo(0);
    }

    private void assertLimitsAreKept() {
        for (int i = 0; i < servers.size(); i++) {
            Optional<Double> limit = limit(i);
            if (limit.isPresent()) {
                int allowed = (int) (1.5 * limit.get() * 4 + 5);
                assertThat(mostInAWindow(servers.get(i))).isAtMost(allowed);
            }
        }
    }

    /**
     * Plays 60 seconds.
     *
     * @param perSecond the requests of all callers a second
     * @param quietNanos the time after the first three seconds in which there are none
     */
    private void play(int seed, int fleetSize, int perSecond, long quietNanos) {
        random = new Random(seed);
        servers.clear();
        vms.clear();
        events.clear();
        arrivals.clear();
        refused = 0;
        for (int i = 0; i < 14; i++) {
            servers.add(Catalogs.server("i-" + i, "here"));
        }
        FleetLoad load = new FleetLoad();
        for (int rank = 0; rank < fleetSize; rank++) {
            vms.add(new Vm(new FleetPosition(rank, fleetSize), load, random));
        }
        long now = 0;
        while (now < 60 * SECOND) {
            now += (long) (-Math.log(1 - random.nextDouble()) * SECOND / perSecond);
            handleUntil(now);
            if (now < 3 * SECOND || now > 3 * SECOND + quietNanos) {
                request(vms.get(random.nextInt(fleetSize)), now);
            }
        }
    }

    private void request(Vm vm, long now) {
        Optional<BackendServer> chosen = vm.chooser.choose(servers, RequestKind.ONCE, true, Set.of(), now);
        if (chosen.isEmpty()) {
            refused++;
            return;
        }
        BackendServer server = chosen.get();
        vm.requestStarted(server, now);
        arrivals.add(new Arrival(server, now));
        events.add(new Event(now + WORK, () -> answered(vm, server, now + WORK)));
    }

    private void answered(Vm vm, BackendServer server, long now) {
        vm.requestEnded(server, now);
        Optional<Double> limit = limit(servers.indexOf(server));
        if (limit.isPresent() && vm.chooser.recordLimit(server, limit, now)) {
            events.add(new Event(
                    now + MESSAGE_DELAY,
                    () -> vms.forEach(other -> other.chooser.recordLimit(server, limit, now + MESSAGE_DELAY))));
        }
    }

    private void handleUntil(long now) {
        while (!events.isEmpty() && events.peek().at <= now) {
            events.poll().action.run();
        }
    }

    private static Optional<Double> limit(int server) {
        return switch (server) {
            case 0 -> Optional.of(1.0);
            case 1 -> Optional.of(2.5);
            case 2 -> Optional.of(0.2);
            default -> Optional.empty();
        };
    }

    private int mostInAWindow(BackendServer server) {
        List<Long> times = arrivals.stream()
                .filter(arrival -> arrival.server.equals(server) && arrival.at >= SETTLED)
                .map(Arrival::at)
                .toList();
        int most = 0;
        int first = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) >= WINDOW) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    private int sent(BackendServer server, long from, long to) {
        return (int) arrivals.stream()
                .filter(arrival -> arrival.server.equals(server) && arrival.at >= from && arrival.at < to)
                .count();
    }

    private record Arrival(BackendServer server, long at) {}

    private record Event(long at, Runnable action) {}

    private static final class Vm {
        private final ServerChooser chooser;
        private final FleetLoad load;

        /** Creates a VM that shares its load with the others at once. */
        Vm(FleetPosition position, FleetLoad load, Random random) {
            this.load = load;
            chooser = new ServerChooser(
                    "here",
                    new HealthEstimates(),
                    load,
                    new IdleServerTracker(),
                    new ServerLimits(),
                    () -> position,
                    random);
        }

        void requestStarted(BackendServer server, long now) {
            chooser.stats(server).requestStarted(now);
            shareLoad(server, now);
        }

        void requestEnded(BackendServer server, long now) {
            chooser.stats(server).requestEnded();
            shareLoad(server, now);
        }

        private void shareLoad(BackendServer server, long now) {
            ServerStats stats = chooser.stats(server);
            load.recordInFlight(this, stats.code(), stats.inFlight(), now);
        }
    }
}
