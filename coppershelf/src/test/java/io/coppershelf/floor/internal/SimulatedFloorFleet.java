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
 * The floor's state machines of several VMs with virtual time, a network that loses, delays and repeats, and clocks of
 * different rates. Every VM wants to eject servers all the time; after each grant the floor is checked.
 */
final class SimulatedFloorFleet {
    private static final long TICK_NANOS = Duration.ofMillis(100).toNanos();

    private final Random random;
    private final Map<String, Host> hosts = new TreeMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final Set<String> cuts = new HashSet<>();
    private FakeConfiguration configuration;
    private double loss = 0.05;
    private long now;
    private long order;
    private int mostOut;

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

    /** Cuts the way from one VM to another. */
    void cutLink(String from, String to) {
        cuts.add(from + ">" + to);
    }

    void healNetwork() {
        cuts.clear();
        loss = 0;
    }

    void setLoss(double share) {
        loss = share;
    }

    /** Stops the VM for a time; what arrives is handled when it wakes. */
    void pause(String id, Duration duration) {
        hosts.get(id).pausedUntil = now + duration.toNanos();
    }

    /** Starts the VM anew, without memory. */
    void restart(String id) {
        Host host = hosts.get(id);
        host.start(new Vm(id, host.vm.incarnation() + 1, "herning", "127.0.0.1", 1, 2, false));
    }

    /** Gives one VM another list of VMs; those unreachable are not on it or not answering. */
    void setVmList(String id, List<String> listed, Set<String> unreachable) {
        Host host = hosts.get(id);
        host.listed = listed.stream().map(name -> hosts.get(name).vm).toList();
        host.unreachable = unreachable;
        host.node.onFleet(host.view(), host.localNanos());
    }

    /** Brings a ticket into force on one VM. */
    void configure(String id, FakeConfiguration now) {
        Host host = hosts.get(id);
        host.configuration = now;
        host.perform(host.node.onConfiguration(now, host.localNanos()));
    }

    /** Sets the configuration that the check uses from now on. */
    void setCheckedConfiguration(FakeConfiguration inForce) {
        configuration = inForce;
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
        return mostOut;
    }

    void resetMaxOutOfService() {
        mostOut = 0;
    }

    private void checkFloor() {
        Set<String> out = new HashSet<>(ejected());
        out.addAll(ServiceRules.of(configuration, FakeConfiguration.SERVICE).draining());
        mostOut = Math.max(mostOut, out.size());
        assertWithMessage("servers in service at %s ms, out of service %s", now / 1_000_000, out)
                .that(configuration.serverCount() - out.size())
                .isAtLeast(configuration.floor());
    }

    private void at(long time, Runnable task) {
        events.add(new Event(time, order++, task));
    }

    private void deliver(String from, String to, FloorMessage message) {
        if (!from.equals(to) && (cuts.contains(from + ">" + to) || random.nextDouble() < loss)) {
            return;
        }
        int copies = random.nextInt(20) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long delayMillis = random.nextInt(50) == 0 ? random.nextInt(15_000) : 1 + random.nextInt(20);
            at(
                    now + Duration.ofMillis(delayMillis).toNanos(),
                    () -> hosts.get(to).receive(from, message));
        }
    }

    private record Event(long at, long order, Runnable task) {}

    private final class Host {
        private final double rate = 1 + (random.nextDouble() * 2 - 1) * FloorTiming.CLOCK_RATE_ERROR;
        private Vm vm;
        private List<Vm> listed;
        private Set<String> unreachable = Set.of();
        private FakeConfiguration configuration = SimulatedFloorFleet.this.configuration;
        private FloorNode node;
        private long pausedUntil;

        Host(Vm vm, List<Vm> listed) {
            this.listed = listed;
            start(vm);
        }

        void start(Vm now) {
            vm = now;
            node = new FloorNode(view(), configuration, localNanos());
            FloorNode started = node;
            at(SimulatedFloorFleet.this.now, () -> tick(started));
        }

        FakeFleetView view() {
            return new FakeFleetView(vm, listed, unreachable);
        }

        long localNanos() {
            return (long) (now * rate);
        }

        void receive(String sender, FloorMessage message) {
            if (now < pausedUntil) {
                at(pausedUntil, () -> receive(sender, message));
                return;
            }
            perform(node.onMessage(sender, message, localNanos()));
        }

        private void tick(FloorNode started) {
            if (node != started) {
                return;
            }
            if (now < pausedUntil) {
                at(pausedUntil, () -> tick(started));
                return;
            }
            node.becomeCandidateIfBestRanked(FakeConfiguration.SERVICE);
            perform(node.onTick(localNanos()));
            act();
            at(now + TICK_NANOS, () -> tick(started));
        }

        private void act() {
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
