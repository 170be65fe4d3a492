package io.coppershelf.overload;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.RequestKind;
import io.coppershelf.dispatch.FleetRetryBudget;
import io.coppershelf.dispatch.ReachableChooser;
import io.coppershelf.dispatch.ServerChooser;
import io.coppershelf.dispatch.ServerPaths;
import io.coppershelf.dispatch.ServerStats;
import io.coppershelf.health.estimate.Observation;
import io.coppershelf.mesh.SimulatedMesh;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/** A fleet in four data centres and the servers of one customer in virtual time. */
final class OverloadSimulation {
    private static final long MILLI = 1_000_000;
    private static final long NETWORK = 400_000;
    private static final long STOP = OverloadScenario.END + 5 * OverloadScenario.SECOND;
    /** Time after which the VMs know of servers that were lost or are back. */
    private static final long CATALOG_DELAY = OverloadScenario.SECOND;

    private static final int SERVER_QUEUE = 8;

    private final OverloadScenario scenario;
    private final boolean isControlled;
    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at));
    private final Map<String, Server> servers = new HashMap<>();
    private final Map<String, List<BackendServer>> all = new HashMap<>();
    private final Map<String, List<BackendServer>> registered = new HashMap<>();
    private final List<Vm> vms = new ArrayList<>();
    private final SimulatedMesh mesh;
    private final int size;
    private final List<SimulatedRequest> requests;

    OverloadSimulation(OverloadScenario scenario, boolean isControlled, long seed) {
        this.scenario = scenario;
        this.isControlled = isControlled;
        random = new Random(seed);
        requests = scenario.requests(random);
        size = scenario.fleet().vms();
        int deaf = (int) Math.ceil(scenario.fleet().deafShare() * size);
        mesh = new SimulatedMesh(
                size, OverloadScenario.DATA_CENTRES, deaf, (nanos, action) -> at(nanos, action::accept), STOP);
        for (OverloadScenario.Service service : scenario.services()) {
            List<BackendServer> list = new ArrayList<>();
            for (int i = 0; i < service.servers(); i++) {
                BackendServer server = new BackendServer(
                        service.name() + i,
                        1,
                        service.name(),
                        new InetSocketAddress(1),
                        mesh.dataCentre(i),
                        service.slots(),
                        true,
                        0);
                list.add(server);
                servers.put(server.id(), new Server(server));
            }
            all.put(service.name(), list);
            registered.put(service.name(), list);
        }
        mesh.register(all.values().stream().flatMap(List::stream).toList());
        for (int i = 0; i < size; i++) {
            vms.add(new Vm(i));
        }
    }

    /** Plays the run and returns the requests. */
    List<SimulatedRequest> play() {
        requests.forEach(request -> {
            request.vm = vmOfCaller();
            at(request.arrivedNanos, now -> vms.get(request.vm).arrived(request, now));
        });
        if (scenario.outage().share() > 0) {
            at(OverloadScenario.Outage.FROM, now -> lose(now));
            at(OverloadScenario.Outage.TO, now -> servers.values().forEach(Server::restart));
            at(OverloadScenario.Outage.FROM + CATALOG_DELAY, now -> register());
            at(OverloadScenario.Outage.TO + CATALOG_DELAY, now -> register());
        }
        while (!events.isEmpty()) {
            Event event = events.poll();
            event.action.run(event.at);
        }
        return requests;
    }

    private int vmOfCaller() {
        int vm = random.nextInt(size);
        boolean isNear = random.nextDouble() < scenario.fleet().nearShare();
        return isNear ? vm - vm % OverloadScenario.DATA_CENTRES : vm;
    }

    /** Returns the times at which requests reached each server of a service. */
    Map<String, List<Long>> arrivals(String service) {
        Map<String, List<Long>> arrivals = new HashMap<>();
        all.get(service).forEach(server -> arrivals.put(server.id(), servers.get(server.id()).arrivals));
        return arrivals;
    }

    private boolean hasRoom(String service) {
        int room = 0;
        for (BackendServer server : registered.get(service)) {
            Server state = servers.get(server.id());
            room += state.isLost ? 0 : server.slots() - state.running.size() - state.queue.size();
        }
        return room > 0;
    }

    private void lose(long now) {
        all.values()
                .forEach(list -> list.stream()
                        .limit(Math.round(list.size() * scenario.outage().share()))
                        .forEach(server -> servers.get(server.id()).lose(now)));
    }

    /** Makes the VMs know the servers that are up; one that was lost is back as a new incarnation. */
    private void register() {
        all.forEach((service, list) -> registered.put(
                service,
                list.stream()
                        .filter(server -> !servers.get(server.id()).isLost)
                        .map(server -> servers.get(server.id()).self)
                        .toList()));
        mesh.register(registered.values().stream().flatMap(List::stream).toList());
    }

    private void at(long nanos, Action action) {
        events.add(new Event(nanos, action));
    }

    private interface Action {
        void run(long now);
    }

    private record Event(long at, Action action) {}

    private record Sent(SimulatedRequest request, Vm vm, BackendServer to, long at, Set<String> used) {}

    private final class Server {
        private BackendServer self;
        private final Deque<Sent> queue = new ArrayDeque<>();
        private final Set<Sent> running = new HashSet<>();
        private final List<Long> arrivals = new ArrayList<>();
        private boolean isLost;

        Server(BackendServer self) {
            this.self = self;
        }

        void arrived(Sent sent, long now) {
            arrivals.add(now);
            if (isLost) {
                at(now + NETWORK, later -> sent.vm.notSent(sent, later));
            } else if (isFailing(now)) {
                at(now + NETWORK, later -> sent.vm.failed(sent, later));
            } else if (random.nextDouble() < scenario.fault().refusedUnread()) {
                int load = running.size() + queue.size();
                at(now + NETWORK, later -> sent.vm.notRun(sent, load, later));
            } else if (running.size() < self.slots()) {
                start(sent, now);
            } else if (queue.size() < SERVER_QUEUE) {
                queue.add(sent);
            } else {
                int load = running.size() + queue.size();
                at(now + NETWORK, later -> sent.vm.notRun(sent, load, later));
            }
        }

        private boolean isFailing(long now) {
            int number = Integer.parseInt(self.id().substring(1));
            return now >= OverloadScenario.Fault.FROM
                    && now < OverloadScenario.Fault.TO
                    && number
                            < scenario.fault().failing()
                                    * all.get(self.service()).size();
        }

        private void start(Sent sent, long now) {
            running.add(sent);
            at(now + sent.request.workNanos, later -> finished(sent, later));
        }

        private void finished(Sent sent, long now) {
            if (!running.remove(sent)) {
                return;
            }
            if (!queue.isEmpty()) {
                start(queue.remove(), now);
            }
            int load = running.size() + queue.size();
            at(now + NETWORK, later -> sent.vm.answered(sent, load, later));
        }

        void restart() {
            if (isLost) {
                isLost = false;
                self = new BackendServer(
                        self.id(), 2, self.service(), self.address(), self.dataCentre(), self.slots(), true, 0);
            }
        }

        void lose(long now) {
            isLost = true;
            running.forEach(sent -> at(now + NETWORK, later -> sent.vm.ended(sent, later)));
            queue.forEach(sent -> at(now + NETWORK, later -> sent.vm.ended(sent, later)));
            running.clear();
            queue.clear();
        }
    }

    private final class Vm {
        private final int index;
        private final ServerChooser chooser;
        private final FleetRetryBudget budget = new FleetRetryBudget(0.2, 58, Duration.ofSeconds(10));
        private final Map<String, ServiceAdmission> admissions = new HashMap<>();
        private final ShortageChoice shortageChoice;

        Vm(int index) {
            this.index = index;
            chooser = mesh.chooser(index, random);
            shortageChoice = new ShortageChoice(chooser, new ReachableChooser(chooser, new ServerPaths()));
            for (OverloadScenario.Service service : scenario.services()) {
                List<Integer> ranks = scenario.kinds().stream()
                        .filter(kind -> kind.weights().containsKey(service.name()))
                        .map(OverloadScenario.Kind::rank)
                        .toList();
                admissions.put(service.name(), new ServiceAdmission(RankOrder.of(ranks), random));
            }
        }

        void arrived(SimulatedRequest request, long now) {
            budget.countRequest(request.service, now);
            if (isControlled && decide(request, now) instanceof AdmissionDecision.Refuse refuse) {
                refused(request, refuse.retryAfter(), now);
            } else {
                send(request, new HashSet<>(), now);
            }
        }

        private AdmissionDecision decide(SimulatedRequest request, long now) {
            ServiceAdmission admission = admissions.get(request.service);
            if (admission.isUpdateDue(now)) {
                admission.update(CountedLoad.of(registered.get(request.service), chooser, now), now);
            }
            return admission.decide(
                    new AdmissionRequest(
                            request.kind.rank(),
                            request.kind.name(),
                            request.arrivedNanos,
                            0,
                            request.arrivedNanos + request.kind.objectiveNanos() - now),
                    now);
        }

        private void send(SimulatedRequest request, Set<String> used, long now) {
            boolean isRetry = request.attempts > 0;
            Optional<BackendServer> server = choose(request.service, isRetry, used, now);
            if (server.isEmpty() || used.size() > 4) {
                refused(request, Duration.ofMillis(400), now);
                return;
            }
            used.add(server.get().id());
            ServerStats stats = chooser.stats(server.get());
            stats.requestStarted(now);
            mesh.loadChanged(index, server.get(), stats.inFlight(), true, now);
            Sent sent = new Sent(request, this, server.get(), now, used);
            at(now + NETWORK, later -> servers.get(server.get().id()).arrived(sent, later));
        }

        private Optional<BackendServer> choose(String service, boolean isRetry, Set<String> used, long now) {
            List<BackendServer> list = registered.get(service);
            ServiceAdmission admission = admissions.get(service);
            if (isControlled && admission.isUnderPressure()) {
                return shortageChoice.choose(admission, list, RequestKind.ONCE, isRetry, true, used, now);
            }
            return chooser.choose(list, RequestKind.ONCE, true, used, now);
        }

        void notSent(Sent sent, long now) {
            ended(sent, now);
            chooser.stats(sent.to).recordPathFailure(now);
            send(sent.request, sent.used, now);
        }

        void notRun(Sent sent, int load, long now) {
            loadReported(sent, load, now);
            ended(sent, now);
            sent.request.attempts++;
            if (sent.request.attempts < 2 && budget.tryAcquire(sent.request.service, size, now)) {
                send(sent.request, sent.used, now);
            } else {
                refused(sent.request, Duration.ofMillis(400), now);
            }
        }

        void answered(Sent sent, int load, long now) {
            loadReported(sent, load, now);
            ended(sent, now);
            mesh.observed(index, sent.to, Observation.SUCCESS, now);
            admissions.get(sent.request.service).recordAnswer(sent.request.kind.name(), now - sent.at);
            sent.request.isServed = true;
            sent.request.endedNanos = now;
        }

        private void loadReported(Sent sent, int load, long now) {
            chooser.stats(sent.to).recordReportedLoad(load, now);
            admissions
                    .get(sent.request.service)
                    .recordLoad(sent.to, load, CountedLoad.of(sent.to, chooser, now), false, now);
        }

        void failed(Sent sent, long now) {
            ended(sent, now);
            mesh.observed(index, sent.to, Observation.FAILURE, now);
        }

        void ended(Sent sent, long now) {
            ServerStats stats = chooser.stats(sent.to);
            stats.requestEnded();
            mesh.loadChanged(index, sent.to, stats.inFlight(), false, now);
        }

        private void refused(SimulatedRequest request, Duration retryAfter, long now) {
            request.isRefusedWithRoom |= hasRoom(request.service);
            request.refusalNanos = Math.max(request.refusalNanos, now - request.returnedNanos);
            boolean isAsTold = scenario.returns() == OverloadScenario.Returns.AS_TOLD;
            long back = now + (isAsTold ? retryAfter.toNanos() : 5 * MILLI);
            if (scenario.returns() != OverloadScenario.Returns.NEVER
                    && back - request.arrivedNanos < request.kind.objectiveNanos()) {
                request.returnedNanos = back;
                request.attempts = 0;
                at(back, later -> vms.get(vmOfCaller()).arrived(request, later));
            }
        }
    }
}
