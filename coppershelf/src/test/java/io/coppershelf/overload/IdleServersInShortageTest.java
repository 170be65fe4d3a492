package io.coppershelf.overload;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.RequestKind;
import io.coppershelf.dispatch.ReachableChooser;
import io.coppershelf.dispatch.ServerChooser;
import io.coppershelf.dispatch.ServerPaths;
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
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.junit.jupiter.api.Test;

/**
 * Load: 93 VMs that hold a service of 40 servers to be short of capacity, with few requests. Guards against servers
 * that get no request, since the VMs choose among those that have just answered or a random sample.
 */
final class IdleServersInShortageTest {
    private static final int VMS = 93;
    private static final int SERVERS = 40;
    private static final int PER_SECOND = 40;
    /** The VMs that get most requests; eight of the deployment are larger than the others. */
    private static final int LARGE_VMS = 8;

    private static final double LARGE_VMS_SHARE = 0.9;
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long END = 20 * SECOND;
    private static final long WINDOW = 2 * SECOND;
    private static final long WORK = SECOND / 10;

    private final Random random = new Random(1);
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at));
    private final SimulatedMesh mesh =
            new SimulatedMesh(VMS, 4, 0, (nanos, action) -> events.add(new Event(nanos, action)), END);
    private final List<BackendServer> servers = new ArrayList<>();
    private final Map<BackendServer, List<Long>> requests = new HashMap<>();

    private record Event(long at, LongConsumer action) {}

    @Test
    void floorOfServersGetsRequestsInAnyTwoSecondsWhileCapacityIsShort() {
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new BackendServer("s" + i, 1, "s", new InetSocketAddress(1), mesh.dataCentre(i), 4, true, 0));
        }
        mesh.register(servers);
        List<Vm> vms = new ArrayList<>();
        for (int i = 0; i < VMS; i++) {
            vms.add(new Vm(i));
        }
        for (long at = 0; at < END; at += SECOND / PER_SECOND) {
            events.add(new Event(at, now -> vms.get(vmOfCaller()).arrived(now)));
        }
        while (!events.isEmpty()) {
            Event event = events.poll();
            event.action.accept(event.at);
        }
        for (long from = 2 * SECOND; from < END - WINDOW; from += SECOND / 10) {
            assertThat(used(from)).isAtLeast(0.7 * SERVERS);
        }
    }

    private int vmOfCaller() {
        return random.nextInt(random.nextDouble() < LARGE_VMS_SHARE ? LARGE_VMS : VMS);
    }

    private double used(long fromNanos) {
        return requests.values().stream()
                .filter(times -> times.stream().anyMatch(at -> at >= fromNanos && at < fromNanos + WINDOW))
                .count();
    }

    private final class Vm {
        private final int index;
        private final ServerChooser chooser;
        private final ShortageChoice choice;
        private final ServiceAdmission admission = new ServiceAdmission(RankOrder.of(List.of(0, 1)), random);

        Vm(int index) {
            this.index = index;
            chooser = mesh.chooser(index, random);
            choice = new ShortageChoice(chooser, new ReachableChooser(chooser, new ServerPaths()));
        }

        void arrived(long now) {
            admission.update(List.of(new CountedLoad(true, 6, 4, Optional.of(Duration.ZERO))), now);
            BackendServer server = choice.choose(admission, servers, RequestKind.ONCE, false, false, Set.of(), now)
                    .orElseThrow();
            requests.computeIfAbsent(server, any -> new ArrayList<>()).add(now);
            chooser.stats(server).requestStarted(now);
            mesh.loadChanged(index, server, chooser.stats(server).inFlight(), true, now);
            events.add(new Event(now + WORK, later -> answered(server, later)));
        }

        private void answered(BackendServer server, long now) {
            chooser.stats(server).requestEnded();
            mesh.loadChanged(index, server, chooser.stats(server).inFlight(), false, now);
            admission.recordLoad(server, 0, CountedLoad.of(server, chooser, now), false, now);
        }
    }
}
