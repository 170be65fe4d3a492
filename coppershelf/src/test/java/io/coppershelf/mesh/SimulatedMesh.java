package io.coppershelf.mesh;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.CatalogRevision;
import io.coppershelf.catalog.ServerList;
import io.coppershelf.dispatch.FleetLoad;
import io.coppershelf.dispatch.FleetPosition;
import io.coppershelf.dispatch.ServerChooser;
import io.coppershelf.eventlog.EventLog;
import io.coppershelf.health.estimate.Observation;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * The exchange of reports and summaries on servers in a simulated fleet. Each VM sends and receives what
 * {@link ServerReporting} sends in a fleet of this size; only the sockets and the clock are replaced.
 */
public final class SimulatedMesh {
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final int TICKS_PER_EXPIRY = 8;
    /** One-way latency between data centres. */
    private static final long LATENCY_NANOS = TimeUnit.MICROSECONDS.toNanos(1400);

    private final StateChangeLog log = new StateChangeLog(EventLog.NONE);
    private final Timer timer;
    private final long endNanos;
    private final int dataCentres;
    private final Map<InetSocketAddress, Vm> vms = new TreeMap<>(Membership.ORDER);
    private final List<Vm> byIndex = new ArrayList<>();
    private ServerList servers = ServerList.EMPTY;

    /** Runs actions at virtual times. */
    public interface Timer {
        /** Runs the action at the time. */
        void at(long nanos, LongConsumer action);
    }

    /**
     * Creates a fleet whose VMs are distributed over the data centres in turn.
     *
     * @param deaf the number of VMs that receive no messages
     * @param endNanos the time at which VMs stop sending
     */
    public SimulatedMesh(int size, int dataCentres, int deaf, Timer timer, long endNanos) {
        this.timer = timer;
        this.endNanos = endNanos;
        this.dataCentres = dataCentres;
        for (int i = 0; i < size; i++) {
            Vm vm = new Vm(i, i < deaf);
            vms.put(vm.address, vm);
            byIndex.add(vm);
        }
        List<MemberEntry> members = byIndex.stream()
                .map(vm -> new MemberEntry(vm.address, dataCentre(vm.index), 1, 1, false))
                .toList();
        for (Vm vm : byIndex) {
            vm.audience = Audience.of(
                    vm.address,
                    dataCentre(vm.index),
                    members.stream()
                            .filter(member -> !member.address().equals(vm.address))
                            .toList());
            vm.observations.idleServers().limitTo(vm.audience::covers);
            timer.at(TICK_NANOS * vm.index / size, vm::tick);
        }
    }

    /** Returns the data centre of a VM, or of a server with this number. */
    public String dataCentre(int index) {
        return "dc-" + index % dataCentres;
    }

    /** Returns what a VM knows of the servers. */
    public FleetObservations observations(int vm) {
        return byIndex.get(vm).observations;
    }

    /** Returns a chooser of servers with what a VM knows of them. */
    public ServerChooser chooser(int vm, Random random) {
        FleetObservations known = observations(vm);
        FleetPosition position = new FleetPosition(vm, byIndex.size());
        return new ServerChooser(
                dataCentre(vm),
                known.estimates(),
                known.load(),
                known.idleServers(),
                known.limits(),
                () -> position,
                random);
    }

    /** Sets the servers that all VMs know. */
    public void register(Collection<BackendServer> registered) {
        servers = ServerList.of(CatalogRevision.NONE, registered);
        byIndex.forEach(vm -> vm.observations.retain(servers));
    }

    /** Tells a VM that the number of its requests in flight at a server has changed. */
    public void loadChanged(int vm, BackendServer server, int inFlight, boolean isStart, long nowNanos) {
        byIndex.get(vm).loadChanged(server, inFlight, isStart, nowNanos);
    }

    /** Tells a VM the outcome of one of its requests. */
    public void observed(int vm, BackendServer server, Observation observation, long nowNanos) {
        byIndex.get(vm).observed(server, observation, nowNanos);
    }

    private void deliver(Vm sender, List<InetSocketAddress> receivers, MeshMessage message, long sentNanos) {
        timer.at(
                sentNanos + LATENCY_NANOS,
                now -> receivers.stream()
                        .map(vms::get)
                        .filter(receiver -> !receiver.isDeaf)
                        .forEach(receiver -> receiver.received(sender, message, now)));
    }

    private final class Vm {
        private final int index;
        private final boolean isDeaf;
        private final InetSocketAddress address;
        private final FleetObservations observations = FleetObservations.create();
        private final Map<String, ServerReporter> reporters = new HashMap<>();
        private final ServerSummaries summaries;
        private Audience audience;
        private int ticks;

        Vm(int index, boolean isDeaf) {
            this.index = index;
            this.isDeaf = isDeaf;
            address = new InetSocketAddress("10.0." + index / 200 + "." + (1 + index % 200), 8000);
            summaries = new ServerSummaries(dataCentre(index));
        }

        void loadChanged(BackendServer server, int inFlight, boolean isStart, long now) {
            long code = FleetLoad.codeOf(server.key());
            boolean wasIdle = isStart && observations.idleServers().recordRequest(code, now);
            int inFlightOfAll = inFlight + observations.load().inFlightOfOthers(code);
            boolean isUrgent = isStart && ServerReporting.isUrgent(server, inFlightOfAll, wasIdle, audience);
            long dueNanos = reporter(server.dataCentre()).changed(code, inFlight, isUrgent, audience, now);
            if (isUrgent) {
                timer.at(Math.max(now, dueNanos), later -> send(server.dataCentre(), later));
            }
        }

        void observed(BackendServer server, Observation observation, long now) {
            if (observations.observe(server.key(), observation, "own request", log, now)) {
                long dueNanos = reporter(server.dataCentre())
                        .observed(new MeshMessage.ServerObservation(server.key(), observation), audience, now);
                if (observation.isNegative()) {
                    timer.at(Math.max(now, dueNanos), later -> send(server.dataCentre(), later));
                }
            }
        }

        private ServerReporter reporter(String dataCentre) {
            return reporters.computeIfAbsent(dataCentre, name -> new ServerReporter());
        }

        private void send(String dataCentre, long now) {
            Optional<MeshMessage.ServerReport> report = reporter(dataCentre).pollDue(now);
            report.ifPresent(due -> deliver(this, audience.ofServersIn(dataCentre), due, now));
        }

        void tick(long now) {
            reporters.keySet().forEach(dataCentre -> send(dataCentre, now));
            if (!audience.summaryReceivers().isEmpty()) {
                summaries
                        .pollDue(
                                servers,
                                observations,
                                (server, code) -> reporter(server.dataCentre()).inFlight(code),
                                now)
                        .ifPresent(summary -> deliver(this, audience.summaryReceivers(), summary, now));
            }
            ticks++;
            if (ticks % TICKS_PER_EXPIRY == 1) {
                observations.load().expire(now);
            }
            if (now < endNanos) {
                timer.at(now + TICK_NANOS, this::tick);
            }
        }

        void received(Vm sender, MeshMessage message, long now) {
            if (message instanceof MeshMessage.ServerReport report) {
                observations.recordLoad(sender.address, report, now);
                report.observations()
                        .forEach(observed -> observations.observe(
                                observed.serverKey(), observed.observation(), sender.address, log, now));
            } else if (message instanceof MeshMessage.ServerSummary summary) {
                observations.recordSummary(summary, now);
            }
        }
    }
}
