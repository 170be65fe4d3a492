package io.coppershelf.dispatch;

import static com.google.common.truth.Truth.assertWithMessage;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.RequestKind;
import io.coppershelf.health.estimate.Observation;
import io.coppershelf.mesh.SimulatedMesh;
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
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Load: ordinary traffic, nearly four requests a server in two seconds, while a third of the servers is replaced.
 * Guards against healthy servers that get nothing for seconds: once others fail or are lost, they are the capacity that
 * is missing.
 */
final class HealthyServerUseTest {
    private static final int DATA_CENTRES = 5;
    private static final int SERVERS = 56;
    private static final int SLOTS = 2;
    private static final double PER_SECOND = 107;
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long WORK = TimeUnit.MILLISECONDS.toNanos(290);
    private static final long END = 30 * SECOND;
    private static final long CHECKED_FROM = 5 * SECOND;
    private static final long WINDOW = 2 * SECOND;
    /** Servers are replaced in groups. */
    private static final long FIRST_REPLACEMENT = 15 * SECOND;

    private static final long REPLACEMENT_INTERVAL = SECOND;
    private static final int GROUPS = 3;
    private static final int GROUP_SIZE = 7;

    private final Random random = new Random(1);
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final List<BackendServer> servers = new ArrayList<>();
    private final Map<BackendServer, Long> lastUsed = new HashMap<>();
    private final Map<BackendServer, Integer> running = new HashMap<>();
    private final Set<String> idle = new TreeSet<>();
    private long eventCount;

    private record Event(long at, long number, LongConsumer action) {}

    @ParameterizedTest
    @CsvSource({"36, REPEATABLE", "36, ONCE", "91, REPEATABLE", "91, ONCE"})
    void eachHealthyServerGetsARequestInAnyTwoSeconds(int size, RequestKind kind) {
        play(size, kind);
    }

    /** Guards against services below their floor since all their requests or answers are large. */
    @ParameterizedTest
    @CsvSource({"36, LARGE_REQUEST", "36, LARGE_ANSWER", "91, LARGE_REQUEST", "91, LARGE_ANSWER"})
    void eachHealthyServerGetsARequestIfAllAreLarge(int size, RequestKind kind) {
        play(size, kind);
    }

    private void play(int size, RequestKind kind) {
        SimulatedMesh mesh = new SimulatedMesh(size, DATA_CENTRES, 0, this::at, END);
        for (int i = 0; i < SERVERS; i++) {
            add(mesh, i, 0);
        }
        mesh.register(servers);
        List<Vm> vms = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            vms.add(new Vm(mesh, i, kind));
        }
        for (int group = 0; group < GROUPS; group++) {
            at(FIRST_REPLACEMENT + group * REPLACEMENT_INTERVAL, now -> replaceGroup(mesh, now));
        }
        for (double time = 0; time < END; time += -Math.log(1 - random.nextDouble()) / PER_SECOND * SECOND) {
            at((long) time, now -> vms.get(random.nextInt(size)).send(now));
        }
        for (long time = CHECKED_FROM; time < END; time += SECOND / 10) {
            at(time, this::check);
        }
        while (!events.isEmpty()) {
            Event event = events.poll();
            event.action.accept(event.at);
        }
        assertWithMessage("servers without a request for two seconds, and when")
                .that(idle)
                .isEmpty();
    }

    private void at(long nanos, LongConsumer action) {
        events.add(new Event(nanos, eventCount++, action));
    }

    private void add(SimulatedMesh mesh, int number, long now) {
        BackendServer server = new BackendServer(
                "i-" + number, 1, "stock", new InetSocketAddress(1), mesh.dataCentre(number), SLOTS, true, 0);
        servers.add(server);
        lastUsed.put(server, now);
        running.put(server, 0);
    }

    private void replaceGroup(SimulatedMesh mesh, long now) {
        for (int i = 0; i < GROUP_SIZE; i++) {
            servers.remove(0);
            add(mesh, lastUsed.size(), now);
        }
        mesh.register(servers);
    }

    private void check(long now) {
        servers.stream()
                .filter(server -> now - lastUsed.get(server) > WINDOW)
                .forEach(server -> idle.add(server.id() + " at " + TimeUnit.NANOSECONDS.toSeconds(now) + " s"));
    }

    private final class Vm {
        private final SimulatedMesh mesh;
        private final int index;
        private final RequestKind kind;
        private final ServerChooser chooser;

        Vm(SimulatedMesh mesh, int index, RequestKind kind) {
            this.mesh = mesh;
            this.index = index;
            this.kind = kind;
            chooser = mesh.chooser(index, random);
        }

        void send(long now) {
            BackendServer server = chooser.choose(servers, kind, !kind.isRepeatable(), new HashSet<>(), now)
                    .orElseThrow();
            lastUsed.put(server, now);
            int others = running.merge(server, 1, Integer::sum) - 1;
            chooser.stats(server).requestStarted(now);
            mesh.loadChanged(index, server, chooser.stats(server).inFlight(), true, now);
            long rounds = 1L + others / SLOTS;
            at(now + (long) (rounds * WORK * (0.5 + random.nextDouble())), later -> answered(server, later));
        }

        private void answered(BackendServer server, long now) {
            chooser.stats(server).requestEnded();
            chooser.stats(server).recordReportedLoad(running.merge(server, -1, Integer::sum), now);
            mesh.loadChanged(index, server, chooser.stats(server).inFlight(), false, now);
            mesh.observed(index, server, Observation.SUCCESS, now);
        }
    }
}
