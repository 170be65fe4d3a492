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

/** Simulates seven VMs, each of which requests to eject another server. The fault occurs while a grant is requested. */
final class EjectionSimulation {
    static final int SERVERS = 7;
    static final int FLOOR = 5;
    private static final int VMS = 7;
    private static final String SERVICE = "millrelease";
    private static final Duration TICK = Duration.ofMillis(100);
    private static final Duration WARM_UP = Duration.ofSeconds(25);
    /** Time until the other VMs detect that a VM doesn't answer. */
    private static final Duration LOSS_DETECTION_DELAY = Duration.ofSeconds(3);

    private static final Duration PAUSE = Duration.ofSeconds(30);

    private final VirtualNetwork network = new VirtualNetwork();
    private final Map<String, FloorNode> nodes = new HashMap<>();
    private final ConfigurationStore configuration = new ConfigurationStore();
    private final List<String> ids =
            IntStream.range(0, VMS).mapToObj(i -> "vm-" + i).toList();
    private final Fault fault;
    private boolean faultPending;
    private int maxEjected;

    EjectionSimulation(Fault fault) {
        this.fault = fault;
        configuration.apply(ticket(1, FLOOR, 0));
        ids.forEach(this::start);
    }

    /** Returns the largest number of servers that were ejected at the same time. */
    int maxEjected() {
        return maxEjected;
    }

    void run() {
        network.runUntil(WARM_UP);
        maxEjected = 0;
        faultPending = true;
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
                injectFaultAt(send);
            } else if (action instanceof FloorAction.Granted) {
                maxEjected = Math.max(maxEjected, ejected().size());
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

    /** Injects the fault at the issuer that receives the first grant request. */
    private void injectFaultAt(FloorAction.Send send) {
        if (!faultPending || !(send.message() instanceof GrantRequest)) {
            return;
        }
        faultPending = false;
        String issuer = send.target();
        switch (fault) {
            case VM_KILLED -> {
                network.kill(issuer);
                reportUnreachable(issuer);
            }
            case VM_PAUSED -> network.pause(issuer, PAUSE);
            case VM_RESTARTED -> {
                network.restart(issuer);
                start(issuer);
            }
            case CUT_IN -> {
                ids.forEach(id -> network.cut(id, issuer));
                reportUnreachable(issuer);
            }
            case CUT_OUT -> {
                ids.forEach(id -> network.cut(issuer, id));
                reportUnreachable(issuer);
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

    /** Makes the VM unreachable in the views of the other VMs, after a delay; it stays on the VM list. */
    private void reportUnreachable(String unreachable) {
        List<String> others = ids.stream().filter(id -> !id.equals(unreachable)).toList();
        others.forEach(id -> network.after(
                id, LOSS_DETECTION_DELAY, () -> nodes.get(id).onFleet(view(id, others), network.nowNanos())));
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
