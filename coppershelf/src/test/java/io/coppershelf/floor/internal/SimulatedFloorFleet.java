package io.coppershelf.floor.internal;

import static com.google.common.truth.Truth.assertWithMessage;

import io.coppershelf.membership.Vm;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * Simulates the floor protocol on several VMs with virtual time, a network that loses, delays and duplicates messages,
 * and clocks of different rates. Every VM requests grants continually; the floor is checked after each grant.
 */
final class SimulatedFloorFleet {
    private static final long TICK_NANOS = Duration.ofMillis(100).toNanos();

    private final Random random;
    private final Map<String, Host> hosts = new TreeMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final Set<String> cutLinks = new HashSet<>();
    private FakeConfiguration configuration;
    private double lossProbability = 0.05;
    private long now;
    private long order;
    private int maxOutOfService;

    SimulatedFloorFleet(long seed, int vms, FakeConfiguration configuration) {
        this.random = new Random(seed);
        this.configuration = configuration;
        List<Vm> list = new ArrayList<>();
        for (int i = 0; i < vms; i++) {
            list.add(FakeFleetView.vm("vm" + i, 1));
        }
        list.forEach(vm -> hosts.put(vm.id(), new Host(vm, list)));
    }

    List<String> ids() {
        return List.copyOf(hosts.keySet());
    }

    void run(Duration duration) {
        long end = now + duration.toNanos();
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = Math.max(now, event.at());
            event.task().run();
        }
        now = end;
    }

    /** Cuts the network link from one VM to another, in this direction only. */
    void cutLink(String from, String to) {
        cutLinks.add(from + ">" + to);
    }

    void healNetwork() {
        cutLinks.clear();
        lossProbability = 0;
    }

    void setLoss(double probability) {
        lossProbability = probability;
    }

    /** Pauses the VM; messages that arrive during the pause are handled at its end. */
    void pause(String id, Duration duration) {
        hosts.get(id).pausedUntilNanos = now + duration.toNanos();
    }

    /** Restarts the VM with empty state. */
    void restart(String id) {
        Host host = hosts.get(id);
        host.start(new Vm(id, host.vm.incarnation() + 1, "herning", "127.0.0.1", 1, 2, false));
    }

    /** Sets the VM list of one VM, and the VMs that are unreachable from it. */
    void setVmList(String id, List<String> listedVms, Set<String> unreachable) {
        Host host = hosts.get(id);
        host.listedVms = listedVms.stream().map(name -> hosts.get(name).vm).toList();
        host.unreachable = unreachable;
        host.node.onFleet(host.view(), host.localNanos());
    }

    /** Applies a configuration to one VM. */
    void configure(String id, FakeConfiguration configuration) {
        Host host = hosts.get(id);
        host.configuration = configuration;
        host.perform(host.node.onConfiguration(configuration, host.localNanos()));
    }

    /** Sets the configuration whose floor is checked from now on. */
    void setCheckedConfiguration(FakeConfiguration checked) {
        configuration = checked;
    }

    void reportDraining(String id, int server) {
        Host host = hosts.get(id);
        host.perform(host.node.reportOutOfService(
                FakeConfiguration.SERVICE, FakeConfiguration.server(server), true, host.localNanos()));
    }

    Set<String> ejected() {
        Set<String> ejected = new HashSet<>();
        for (Host host : hosts.values()) {
            for (int i = 0; i < configuration.serverCount(); i++) {
                String server = FakeConfiguration.server(i);
                if (host.node.isGrantLive(FakeConfiguration.SERVICE, server, host.localNanos())) {
                    ejected.add(server);
                }
            }
        }
        return ejected;
    }

    int maxOutOfService() {
        return maxOutOfService;
    }

    void resetMaxOutOfService() {
        maxOutOfService = 0;
    }

    private void checkFloor() {
        Set<String> outOfService = new HashSet<>(ejected());
        outOfService.addAll(
                ServiceRules.of(configuration, FakeConfiguration.SERVICE).draining());
        maxOutOfService = Math.max(maxOutOfService, outOfService.size());
        assertWithMessage("servers in service at %s ms, out of service %s", now / 1_000_000, outOfService)
                .that(configuration.serverCount() - outOfService.size())
                .isAtLeast(configuration.floor());
    }

    private void schedule(long time, Runnable task) {
        events.add(new Event(time, order++, task));
    }

    private void deliver(String from, String to, FloorMessage message) {
        if (!from.equals(to) && (cutLinks.contains(from + ">" + to) || random.nextDouble() < lossProbability)) {
            return;
        }
        int copies = random.nextInt(20) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long delayMillis = random.nextInt(50) == 0 ? random.nextInt(15_000) : 1 + random.nextInt(20);
            schedule(
                    now + Duration.ofMillis(delayMillis).toNanos(),
                    () -> hosts.get(to).receive(from, message));
        }
    }

    private record Event(long at, long order, Runnable task) {}

    private final class Host {
        private final double rate = 1 + (random.nextDouble() * 2 - 1) * FloorTiming.CLOCK_RATE_ERROR;
        private Vm vm;
        private List<Vm> listedVms;
        private Set<String> unreachable = Set.of();
        private FakeConfiguration configuration = SimulatedFloorFleet.this.configuration;
        private FloorNode node;
        private long pausedUntilNanos;

        Host(Vm vm, List<Vm> listedVms) {
            this.listedVms = listedVms;
            start(vm);
        }

        void start(Vm started) {
            vm = started;
            node = new FloorNode(view(), configuration, localNanos());
            FloorNode current = node;
            schedule(SimulatedFloorFleet.this.now, () -> tick(current));
        }

        FakeFleetView view() {
            return new FakeFleetView(vm, listedVms, unreachable);
        }

        long localNanos() {
            return (long) (now * rate);
        }

        void receive(String sender, FloorMessage message) {
            if (now < pausedUntilNanos) {
                schedule(pausedUntilNanos, () -> receive(sender, message));
                return;
            }
            perform(node.onMessage(sender, message, localNanos()));
        }

        private void tick(FloorNode started) {
            if (node != started) {
                return;
            }
            if (now < pausedUntilNanos) {
                schedule(pausedUntilNanos, () -> tick(started));
                return;
            }
            node.becomeCandidateIfBestRanked(FakeConfiguration.SERVICE);
            perform(node.onTick(localNanos()));
            requestOrRelease();
            schedule(now + TICK_NANOS, () -> tick(started));
        }

        private void requestOrRelease() {
            String server = FakeConfiguration.server(random.nextInt(configuration.serverCount()));
            boolean live = node.isGrantLive(FakeConfiguration.SERVICE, server, localNanos());
            if (live && random.nextInt(20) == 0) {
                perform(node.release(FakeConfiguration.SERVICE, server));
                return;
            }
            perform(node.request(FakeConfiguration.SERVICE, server, localNanos()));
        }

        void perform(List<FloorAction> actions) {
            for (FloorAction action : actions) {
                if (action instanceof FloorAction.Send send) {
                    deliver(vm.id(), send.target(), send.message());
                }
                if (action instanceof FloorAction.Granted) {
                    checkFloor();
                }
            }
        }
    }
}
