package io.coppershelf.dispatch;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.RequestKind;
import io.coppershelf.catalog.Route;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.testing.Catalogs;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** A request at one VM, executed as the plan says. */
final class PathLossRequest extends UnimpededAllocator {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final int SLOTS = 6;
    private static final double TYPICAL_NANOS = 200.0 * MILLI;
    private static final Route ROUTE = Catalogs.route(RequestKind.ONCE);

    /** The end of a request: served, or refused by the system. */
    record End(boolean isServed, Optional<ErrorKind> error, int serversReached) {}

    private final PathLossFleet fleet;
    private final PathLossFleet.Vm vm;
    private final boolean isRelayed;
    private final Consumer<End> onEnd;
    private final RequestPlan plan;
    private int attempt;
    private BackendServer server;

    PathLossRequest(PathLossFleet fleet, PathLossFleet.Vm vm, int maxServers, boolean isRelayed, Consumer<End> onEnd) {
        this.fleet = fleet;
        this.vm = vm;
        this.isRelayed = isRelayed;
        this.onEnd = onEnd;
        plan = new RequestPlan(ROUTE, maxServers, this, fleet.now() + 5 * SECOND, new TypicalLatency());
    }

    void start() {
        execute(() -> plan.start(fleet.now()));
    }

    void notSent() {
        release();
        execute(() -> plan.notSent(attempt, fleet.now()));
    }

    void connected(BackendServer target) {
        int busy = fleet.running().getOrDefault(target.id(), 0);
        if (busy >= SLOTS) {
            fleet.at(fleet.now() + MILLI, () -> {
                freed(target);
                execute(() -> plan.notRun(attempt, fleet.now()));
            });
            return;
        }
        fleet.running().put(target.id(), busy + 1);
        fleet.at(
                fleet.now()
                        + (long) (TYPICAL_NANOS * (0.7 + 0.6 * fleet.random().nextDouble())),
                () -> {
                    fleet.running().merge(target.id(), -1, Integer::sum);
                    freed(target);
                    vm.paths.answered(target, fleet.now());
                    execute(() -> plan.answered(attempt));
                });
    }

    private void freed(BackendServer target) {
        release();
        if (fleet.reaches(vm, target)) {
            vm.idle.merge(target.id(), 1, Integer::sum);
        }
    }

    private void release() {
        vm.chooser.stats(server).requestEnded();
        vm.loadChanged(server);
    }

    private void execute(Supplier<List<PlanStep>> steps) {
        for (PlanStep step : steps.get()) {
            if (step instanceof PlanStep.Send send) {
                attempt = send.attempt();
                server = send.server();
                vm.chooser.stats(server).requestStarted(fleet.now());
                vm.loadChanged(server);
                vm.acquire(server, this);
            } else if (step instanceof PlanStep.Relay relay) {
                attempt = relay.attempt();
                relay(relay);
            } else if (step instanceof PlanStep.Fail fail) {
                onEnd.accept(new End(false, Optional.of(fail.kind()), plan.serversReached()));
            } else if (step instanceof PlanStep.Deliver) {
                onEnd.accept(new End(true, Optional.empty(), plan.serversReached()));
            }
        }
    }

    private void relay(PlanStep.Relay relay) {
        fleet.recordRelay();
        PathLossFleet.Vm other = fleet.vms().stream()
                .filter(candidate -> candidate.address.equals(relay.vm()))
                .findFirst()
                .orElseThrow();
        Consumer<End> back = end -> fleet.at(fleet.now() + 2 * MILLI, () -> relayEnded(relay.vm(), end));
        fleet.at(fleet.now() + 2 * MILLI, () -> new PathLossRequest(fleet, other, relay.servers(), true, back).start());
    }

    private void relayEnded(InetSocketAddress other, End end) {
        boolean isOutOfReach = end.error.filter(ErrorKind.NO_SERVER::equals).isPresent();
        if (isOutOfReach && end.serversReached == 0) {
            vm.reachable.relays().notReached("ledger", other, fleet.now());
        } else {
            vm.reachable.relays().reached("ledger", other);
        }
        execute(() -> end.isServed
                ? plan.answered(attempt)
                : plan.relayNotRun(attempt, end.serversReached, Optional.empty(), fleet.now()));
    }

    @Override
    public Optional<BackendServer> choose(Set<String> excluded, boolean isLastAttempt) {
        return vm.reachable.choose(fleet.servers(), RequestKind.ONCE, isLastAttempt, excluded, fleet.now());
    }

    @Override
    public boolean isCutOff() {
        return vm.reachability.isCutOff();
    }

    @Override
    public boolean isOutOfReach(Set<String> excluded) {
        return vm.reachable.isOutOfReach(fleet.servers(), excluded, fleet.now());
    }

    @Override
    public Optional<InetSocketAddress> relay(Set<InetSocketAddress> excluded) {
        if (isRelayed) {
            return Optional.empty();
        }
        return vm.reachable.relays().choose("ledger", excluded, this::candidate, fleet.now());
    }

    private Optional<InetSocketAddress> candidate(Set<InetSocketAddress> avoided) {
        List<InetSocketAddress> left = fleet.vms().stream()
                .filter(other -> other != vm && !other.reachability.isCutOff())
                .map(other -> other.address)
                .filter(address -> !avoided.contains(address))
                .toList();
        return left.isEmpty()
                ? Optional.empty()
                : Optional.of(left.get(fleet.random().nextInt(left.size())));
    }

    @Override
    public boolean canRetry() {
        return true;
    }

    @Override
    public boolean tryAcquireRetry(boolean isProvedNotRun) {
        return true;
    }
}
