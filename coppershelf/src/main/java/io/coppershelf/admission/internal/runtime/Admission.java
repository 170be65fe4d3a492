package io.coppershelf.admission.internal.runtime;

import com.google.common.flogger.FluentLogger;
import io.coppershelf.admission.AttemptRequest;
import io.coppershelf.admission.AttemptSender;
import io.coppershelf.admission.GroupName;
import io.coppershelf.admission.OwnerLookup;
import io.coppershelf.admission.ServerGroup;
import io.coppershelf.backend.BackendClient;
import io.coppershelf.component.ComponentRegistry;
import io.coppershelf.component.ControlThread;
import io.coppershelf.component.TimeSource;
import io.coppershelf.floor.EjectionGrants;
import io.coppershelf.membership.FleetView;
import io.coppershelf.membership.Vm;
import io.coppershelf.operator.OperatorRegistry;
import io.coppershelf.operator.Timeline;
import io.coppershelf.peer.PeerExchange;
import io.coppershelf.settings.Settings;
import io.coppershelf.ticket.Configuration;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.locks.LockSupport;

/** Creates and connects the objects of the admission component. */
public final class Admission implements AttemptSender {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration TICK_INTERVAL = Duration.ofMillis(25);
    private static final Duration STOP_POLL_INTERVAL = Duration.ofMillis(10);

    private volatile AttemptSender sender;
    private volatile LocalGroups groups;

    /** Looks up the interfaces of other components and starts serving. */
    public void start(ComponentRegistry registry) {
        BackendClient backend = registry.require(BackendClient.NAME);
        TimeSource time = registry.require(TimeSource.NAME);
        FleetView.Source fleet = registry.require(FleetView.Source.NAME);
        Configuration.Source configuration = registry.require(Configuration.Source.NAME);
        PeerExchange peers = registry.require(PeerExchange.NAME);
        HealthEvidenceExchange evidenceExchange = new HealthEvidenceExchange(peers, fleet, configuration, backend);
        EjectionGrants grants = registry.require(EjectionGrants.NAME);
        Timeline timeline = registry.require(Timeline.NAME);

        groups = new LocalGroups(
                configuration,
                new OwnerLookup(fleet),
                name -> new GroupRuntime(
                        name,
                        decisions(name, time),
                        backend,
                        time,
                        runtime ->
                                new GroupHealthActionExecutor(runtime, backend, evidenceExchange, grants, timeline)));
        sender = new PeerAttemptSender(registry.require(Settings.NAME).vm(), groups, peers, time);
        evidenceExchange.register(groups);
        new ForwardServer(groups).register(peers, time);
        registry.require(OperatorRegistry.NAME).addStatus(new AdmissionStatus(groups));
        drive(registry.require(ControlThread.NAME), configuration, fleet);
    }

    private static ServerGroup decisions(GroupName name, TimeSource time) {
        return ServerGroup.create(name, new Random(name.hashCode() ^ time.nanos()));
    }

    private void drive(ControlThread control, Configuration.Source configuration, FleetView.Source fleet) {
        configuration.onChange(groups::refresh);
        fleet.onChange(groups::refresh);
        control.execute(groups::refresh);
        control.every(TICK_INTERVAL, groups::tick);
    }

    @Override
    public AttemptSender.AttemptExchange send(Vm owner, AttemptRequest request) {
        return sender.send(owner, request);
    }

    /** Refuses new attempts and waits until those in flight have ended. */
    public void stop(Duration limit) {
        groups.beginStop();
        long end = System.nanoTime() + limit.toNanos();
        while (groups.inFlight() > 0 && System.nanoTime() < end) {
            LockSupport.parkNanos(STOP_POLL_INTERVAL.toNanos());
        }
        logger.atInfo().log("[admission] Stopped with %s attempts in flight.", groups.inFlight());
    }
}
