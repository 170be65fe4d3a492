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

/**
 * Simulates requests with one idempotency key: two entry VMs, two owners, five holders of the claim and two servers.
 * One fault is injected when a given step is reached.
 */
final class RequestSimulation {
    static final String KEY = OwnerVm.SERVICE + "/coil-7";
    static final List<String> ENTRIES = List.of("entry-a", "entry-b");
    static final List<String> OWNERS = List.of("owner-a", "owner-b");
    static final List<String> HOLDERS = List.of("holder-a", "holder-b", "holder-c", "holder-d", "holder-e");
    /** Time before the first request, and before a restarted holder pulls the claims of the others. */
    private static final Duration SETTLING_TIME = Duration.ofSeconds(10);

    private static final Duration PAUSE = Duration.ofSeconds(30);

    private final VirtualNetwork network = new VirtualNetwork();
    private final Map<String, FakeServer> servers = new HashMap<>();
    private final Map<String, OwnerVm> owners = new HashMap<>();
    private final Map<String, HolderState> holders = new HashMap<>();
    private final List<CallerRequest> requests = new ArrayList<>();
    private final Step step;
    private final Runnable faultInjection;
    private boolean faultInjected;

    /**
     * Creates the simulation and runs it until the holders have exchanged their claims.
     *
     * @param step the step at which the fault is injected
     * @param fault the fault
     * @param victim the VM that the fault affects, if it is a fault of a VM
     */
    RequestSimulation(Step step, Fault fault, String victim) {
        this.step = step == Step.STOP || step == Step.START ? Step.RUNNING : step;
        this.faultInjection = () -> {
            if (step == Step.STOP) {
                owners.get("owner-a").stop();
            }
            if (step == Step.START) {
                restart("holder-a");
            }
            inject(fault, victim);
        };
        Consumer<Step> stepListener = this::onStep;
        List.of("server-1", "server-2").forEach(name -> servers.put(name, new FakeServer(name, network, stepListener)));
        OWNERS.forEach(id -> owners.put(id, new OwnerVm(id, network, servers, stepListener)));
        HOLDERS.forEach(id -> holders.put(id, startHolder(id)));
        HOLDERS.forEach(id -> pull(id, HOLDERS));
        network.runUntil(SETTLING_TIME);
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

    List<CallerRequest> requests() {
        return requests;
    }

    /** Returns the ids of the attempts that were executed on any server. */
    List<String> executed() {
        return servers.values().stream()
                .flatMap(server -> server.executed().stream())
                .toList();
    }

    /** Returns the ids of the attempts received by the server that is drained by the drain fault. */
    List<String> receivedByDraining() {
        return servers.get("server-1").received();
    }

    /**
     * Sends the request at once, through another VM one second later, and again before and after the network is healed.
     */
    void run() {
        sendRequest("first", "entry-a", Duration.ZERO);
        sendRequest("second", "entry-b", Duration.ofSeconds(1));
        sendRequest("third", "entry-b", Duration.ofSeconds(8));
        network.runUntil(SETTLING_TIME.plusSeconds(20));
        network.healAll();
        sendRequest("fourth", "entry-b", Duration.ofSeconds(25));
        network.runUntil(SETTLING_TIME.plusSeconds(80));
    }

    void onStep(Step reached) {
        if (reached == step && !faultInjected) {
            faultInjected = true;
            faultInjection.run();
        }
    }

    boolean isFaultInjected() {
        return faultInjected;
    }

    private void sendRequest(String id, String vm, Duration delay) {
        CallerRequest request = new CallerRequest(id, vm, this);
        requests.add(request);
        network.after(vm, delay, request::start);
    }

    private void inject(Fault fault, String victim) {
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
            network.after(victim, SETTLING_TIME, () -> pull(victim, HOLDERS));
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

    /** Returns a holder's view of all holders; the restarted one has a new incarnation. */
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
                        holders.get(id).merge(page.claims(), network.nowNanos());
                        holders.get(id).onPullComplete(peer, page.historyKnown(), page.lost());
                    });
                }));
    }
}
