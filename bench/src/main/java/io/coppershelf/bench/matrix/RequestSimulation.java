package io.coppershelf.bench.matrix;

import io.coppershelf.claim.internal.ClaimMessage.ClaimPage;
import io.coppershelf.claim.internal.HolderState;
import io.coppershelf.membership.Vm;
import io.coppershelf.membership.internal.FleetSnapshot;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** Two entry VMs, two owners, five holders of one key and two servers; one fault strikes when a step is reached. */
final class RequestSimulation {
    static final String KEY = OwnerVm.SERVICE + "/coil-7";
    static final List<String> ENTRIES = List.of("entry-a", "entry-b");
    static final List<String> OWNERS = List.of("owner-a", "owner-b");
    static final List<String> HOLDERS = List.of("holder-a", "holder-b", "holder-c", "holder-d", "holder-e");
    private static final Duration SETTLED = Duration.ofSeconds(10);
    private static final Duration PAUSE = Duration.ofSeconds(30);

    private final VirtualNetwork network = new VirtualNetwork();
    private final Map<String, FakeServer> servers = new HashMap<>();
    private final Map<String, OwnerVm> owners = new HashMap<>();
    private final Map<String, HolderState> holders = new HashMap<>();
    private final List<EntryAttempt> attempts = new ArrayList<>();
    private final Step step;
    private final Runnable strike;
    private boolean struck;

    /**
     * Creates the world.
     *
     * @param step when the fault strikes
     * @param fault the fault
     * @param victim the VM that it strikes if it is one of VMs
     */
    RequestSimulation(Step step, Fault fault, String victim) {
        this.step = step == Step.STOP || step == Step.START ? Step.RUNNING : step;
        this.strike = () -> {
            if (step == Step.STOP) {
                owners.get("owner-a").stop();
            }
            if (step == Step.START) {
                restart("holder-a");
            }
            strike(fault, victim);
        };
        Consumer<Step> reached = this::onStep;
        List.of("server-1", "server-2").forEach(name -> servers.put(name, new FakeServer(name, network, reached)));
        OWNERS.forEach(id -> owners.put(id, new OwnerVm(id, network, servers, reached)));
        HOLDERS.forEach(id -> holders.put(id, startHolder(id)));
        HOLDERS.forEach(id -> pull(id, HOLDERS));
        network.runUntil(SETTLED);
    }

    VirtualNetwork network() {
        return network;
    }

    OwnerVm owner(String id) {
        return owners.get(id);
    }

    HolderState holder(String id) {
        return holders.get(id);
    }

    List<EntryAttempt> attempts() {
        return attempts;
    }

    /** Returns the tries that ran on any server. */
    List<String> executed() {
        return servers.values().stream()
                .flatMap(server -> server.executed().stream())
                .toList();
    }

    /** Returns the tries that reached the server that drains in the drain fault. */
    List<String> receivedByDraining() {
        return servers.get("server-1").received();
    }

    /** Sends the request: at once, again by another VM a second later, and again after the faults. */
    void run() {
        attempt("first", "entry-a", Duration.ZERO);
        attempt("second", "entry-b", Duration.ofSeconds(1));
        attempt("third", "entry-b", Duration.ofSeconds(8));
        network.runUntil(SETTLED.plusSeconds(20));
        network.healAll();
        attempt("fourth", "entry-b", Duration.ofSeconds(25));
        network.runUntil(SETTLED.plusSeconds(80));
    }

    void onStep(Step now) {
        if (now == step && !struck) {
            struck = true;
            strike.run();
        }
    }

    boolean isFaultInjected() {
        return struck;
    }

    private void attempt(String id, String vm, Duration delay) {
        EntryAttempt attempt = new EntryAttempt(id, vm, this);
        attempts.add(attempt);
        network.after(vm, delay, attempt::start);
    }

    private void strike(Fault fault, String victim) {
        switch (fault) {
            case VM_KILLED -> network.kill(victim);
            case VM_PAUSED -> network.pause(victim, PAUSE);
            case VM_RESTARTED -> restart(victim);
            case CUT_IN -> others(victim).forEach(other -> network.cut(other, victim));
            case CUT_OUT -> others(victim).forEach(other -> network.cut(victim, other));
            case SPLIT -> split();
            case DRAIN_DURING_WORK -> owners.values().forEach(OwnerVm::drainFirstServer);
            default -> servers.values().forEach(server -> server.injectFault(fault));
        }
    }

    private void restart(String victim) {
        network.restart(victim);
        if (owners.containsKey(victim)) {
            owners.get(victim).start();
        }
        if (holders.containsKey(victim)) {
            HOLDERS.forEach(id -> holders.get(id).onFleet(view(id, victim), network.nowNanos()));
            holders.put(victim, startHolder(victim));
            network.after(victim, SETTLED, () -> pull(victim, HOLDERS));
        }
    }

    private void split() {
        Set<String> left = Set.of("entry-a", "owner-a", "holder-a", "holder-b");
        Stream.of(ENTRIES, OWNERS, HOLDERS)
                .flatMap(List::stream)
                .filter(id -> !left.contains(id))
                .forEach(right -> left.forEach(id -> {
                    network.cut(id, right);
                    network.cut(right, id);
                }));
    }

    private static Stream<String> others(String victim) {
        return Stream.of(ENTRIES, OWNERS, HOLDERS, List.of("server-1", "server-2"))
                .flatMap(List::stream)
                .filter(id -> !id.equals(victim));
    }

    private HolderState startHolder(String id) {
        return new HolderState(view(id, id), network.nowNanos());
    }

    /** Returns the list of holders in the view of one, with a new start of the restarted one. */
    private FleetSnapshot view(String id, String restarted) {
        List<Vm> vms = HOLDERS.stream()
                .map(name -> new Vm(
                        name,
                        1_000L + (name.equals(restarted) ? network.incarnation(name) : 0),
                        "a",
                        "127.0.0.1",
                        1,
                        2,
                        false))
                .toList();
        Vm self = vms.get(HOLDERS.indexOf(id));
        return new FleetSnapshot(self, vms, Set.copyOf(HOLDERS));
    }

    private void pull(String id, List<String> peers) {
        peers.stream()
                .filter(peer -> !peer.equals(id))
                .forEach(peer -> network.send(id, peer, () -> {
                    ClaimPage page = holders.get(peer).page("", key -> true, network.nowNanos());
                    network.send(peer, id, () -> {
                        holders.get(id).merge(page.attempts(), network.nowNanos());
                        holders.get(id).onPullComplete(peer, page.historyKnown(), page.lost());
                    });
                }));
    }
}
