package io.coppershelf.bench.matrix;

import io.coppershelf.floor.internal.FloorAction;
import io.coppershelf.floor.internal.FloorMessage.GrantRequest;
import io.coppershelf.floor.internal.FloorNode;
import io.coppershelf.membership.Vm;
import io.coppershelf.membership.internal.FleetSnapshot;
import io.coppershelf.ticket.ConfigurationStore;
import io.coppershelf.ticket.ObjectState;
import io.coppershelf.ticket.ServerSpec;
import io.coppershelf.ticket.ServiceSpec;
import io.coppershelf.ticket.Ticket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

/** Seven VMs that each want to eject a server of their own; the fault strikes while a right is asked for. */
final class EjectionSimulation {
    static final int SERVERS = 7;
    static final int FLOOR = 5;
    private static final int VMS = 7;
    private static final String SERVICE = "millrelease";
    private static final Duration TICK = Duration.ofMillis(100);
    private static final Duration WARM_UP = Duration.ofSeconds(25);
    private static final Duration LOSS_NOTICED_AFTER = Duration.ofSeconds(3);
    private static final Duration PAUSE = Duration.ofSeconds(30);

    private final VirtualNetwork network = new VirtualNetwork();
    private final Map<String, FloorNode> nodes = new HashMap<>();
    private final ConfigurationStore configuration = new ConfigurationStore();
    private final List<String> ids =
            IntStream.range(0, VMS).mapToObj(i -> "vm-" + i).toList();
    private final Fault fault;
    private boolean armed;
    private int mostOut;

    EjectionSimulation(Fault fault) {
        this.fault = fault;
        configuration.apply(ticket(1, FLOOR, 0));
        ids.forEach(this::start);
    }

    /** Returns the most servers that were ejected at once. */
    int maxEjected() {
        return mostOut;
    }

    void run() {
        network.runUntil(WARM_UP);
        mostOut = 0;
        armed = true;
        network.runUntil(WARM_UP.plusSeconds(60));
        network.healAll();
        network.runUntil(WARM_UP.plusSeconds(120));
    }

    private Ticket ticket(long number, int floor, int draining) {
        List<ObjectState> objects = new ArrayList<>();
        IntStream.range(0, SERVERS)
                .mapToObj(i -> new ServerSpec("s-" + i, SERVICE, "thess-a", "127.0.0.1", 1, 2, 330, i < draining))
                .map(ObjectState::present)
                .forEach(objects::add);
        objects.add(ObjectState.present(new ServiceSpec(SERVICE, floor, 0.2)));
        return new Ticket(number, objects);
    }

    private void start(String id) {
        FloorNode node = new FloorNode(view(id, ids), configuration.snapshot(), network.nowNanos());
        nodes.put(id, node);
        node.becomeCandidateIfBestRanked(SERVICE);
        tick(id);
    }

    private FleetSnapshot view(String id, List<String> reachable) {
        List<Vm> vms = ids.stream()
                .map(name -> new Vm(name, 1 + network.incarnation(name), "thess-a", "127.0.0.1", 1, 2, false))
                .toList();
        return new FleetSnapshot(vms.get(ids.indexOf(id)), vms, Set.copyOf(reachable));
    }

    private void tick(String id) {
        FloorNode node = nodes.get(id);
        node.becomeCandidateIfBestRanked(SERVICE);
        perform(id, node.onTick(network.nowNanos()));
        perform(id, node.request(SERVICE, "s-" + ids.indexOf(id), network.nowNanos()));
        network.after(id, TICK, () -> tick(id));
    }

    private void perform(String id, List<FloorAction> actions) {
        for (FloorAction action : actions) {
            if (action instanceof FloorAction.Send send) {
                network.send(id, send.target(), () -> receive(id, send));
                strikeAt(send);
            } else if (action instanceof FloorAction.Granted) {
                mostOut = Math.max(mostOut, ejected().size());
            }
        }
    }

    private void receive(String sender, FloorAction.Send send) {
        FloorNode target = nodes.get(send.target());
        perform(send.target(), target.onMessage(sender, send.message(), network.nowNanos()));
    }

    private Set<String> ejected() {
        Set<String> servers = new HashSet<>();
        for (String id : ids) {
            String server = "s-" + ids.indexOf(id);
            if (network.isUp(id) && nodes.get(id).isGrantLive(SERVICE, server, network.nowNanos())) {
                servers.add(server);
            }
        }
        return servers;
    }

    /** Strikes the VM that is asked for a right. */
    private void strikeAt(FloorAction.Send send) {
        if (!armed || !(send.message() instanceof GrantRequest)) {
            return;
        }
        armed = false;
        String granter = send.target();
        switch (fault) {
            case VM_KILLED -> {
                network.kill(granter);
                noticeLoss(granter);
            }
            case VM_PAUSED -> network.pause(granter, PAUSE);
            case VM_RESTARTED -> {
                network.restart(granter);
                start(granter);
            }
            case CUT_IN -> {
                ids.forEach(id -> network.cut(id, granter));
                noticeLoss(granter);
            }
            case CUT_OUT -> {
                ids.forEach(id -> network.cut(granter, id));
                noticeLoss(granter);
            }
            case SPLIT -> split();
            case DRAIN_DURING_WORK -> {
                configuration.apply(ticket(2, FLOOR, 1));
                ids.forEach(
                        id -> perform(id, nodes.get(id).onConfiguration(configuration.snapshot(), network.nowNanos())));
            }
            default -> {}
        }
    }

    /** The other VMs find out that the VM does not answer; it stays on the list. */
    private void noticeLoss(String lost) {
        List<String> others = ids.stream().filter(id -> !id.equals(lost)).toList();
        others.forEach(id -> network.after(
                id, LOSS_NOTICED_AFTER, () -> nodes.get(id).onFleet(view(id, others), network.nowNanos())));
    }

    private void split() {
        List<String> left = ids.subList(0, VMS / 2);
        List<String> right = ids.subList(VMS / 2, VMS);
        left.forEach(a -> right.forEach(b -> {
            network.cut(a, b);
            network.cut(b, a);
        }));
        left.forEach(id -> nodes.get(id).onFleet(view(id, left), network.nowNanos()));
        right.forEach(id -> nodes.get(id).onFleet(view(id, right), network.nowNanos()));
    }
}
