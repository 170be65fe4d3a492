package io.coppershelf.membership;

import com.google.common.flogger.FluentLogger;
import io.coppershelf.component.Component;
import io.coppershelf.component.ComponentRegistry;
import io.coppershelf.component.ControlThread;
import io.coppershelf.component.TimeSource;
import io.coppershelf.membership.internal.FleetSnapshot;
import io.coppershelf.membership.internal.FleetSource;
import io.coppershelf.membership.internal.MembershipDriver;
import io.coppershelf.membership.internal.VmListReader;
import io.coppershelf.operator.OperatorRegistry;
import io.coppershelf.operator.Timeline;
import io.coppershelf.peer.PeerExchange;
import io.coppershelf.platform.Platform;
import io.coppershelf.settings.Settings;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Maintains the view of which VMs of the fleet are live. The settings and the time source must be registered before
 * {@link #register} is called.
 */
public final class MembershipComponent implements Component, LeaveNotice {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private Optional<FleetSource> source = Optional.empty();
    private Optional<MembershipDriver> driver = Optional.empty();

    @Override
    public String name() {
        return "membership";
    }

    @Override
    public void register(ComponentRegistry registry) {
        Settings settings = registry.require(Settings.NAME);
        long incarnation = registry.require(TimeSource.NAME).wallMillis();
        Vm self = new Vm(
                settings.vm(),
                incarnation,
                settings.dataCentre(),
                settings.host(),
                settings.peerPort(),
                settings.operatorPort(),
                false);
        FleetSource created = new FleetSource(new FleetSnapshot(self, List.of(), Set.of()));
        source = Optional.of(created);
        registry.register(FleetView.Source.NAME, created);
        registry.register(LeaveNotice.NAME, this);
    }

    @Override
    public void start(ComponentRegistry registry) {
        FleetSource fleet = source.orElseThrow();
        ControlThread control = registry.require(ControlThread.NAME);
        MembershipDriver started = new MembershipDriver(
                fleet,
                registry.require(Settings.NAME).seeds(),
                control,
                registry.require(TimeSource.NAME),
                registry.require(PeerExchange.NAME),
                registry.require(Timeline.NAME));
        driver = Optional.of(started);
        started.start();
        long seed = fleet.current().self().incarnation();
        registry.find(Platform.NAME)
                .ifPresent(platform -> new VmListReader(platform, control, fleet, seed, started::onList).read());
        registerMetrics(registry.require(OperatorRegistry.NAME), fleet);
    }

    @Override
    public void announceStop() {
        leave();
    }

    @Override
    public void leave() {
        logger.atInfo().log("[membership] Notifying the peers that this VM leaves.");
        driver.ifPresent(MembershipDriver::leave);
    }

    @Override
    public void stop(Duration limit) {
        leave();
    }

    private static void registerMetrics(OperatorRegistry operators, FleetView.Source fleet) {
        GaugeWithCallback.builder()
                .name("coppershelf_fleet_vms")
                .help("VMs of the fleet that count as live.")
                .callback(callback -> callback.call(fleet.current().vms().size()))
                .register(operators.metrics());
        GaugeWithCallback.builder()
                .name("coppershelf_fleet_unreachable_vms")
                .help("Live VMs that did not answer the last probe of this one.")
                .callback(callback -> callback.call((double) countUnreachable(fleet.current())))
                .register(operators.metrics());
    }

    private static long countUnreachable(FleetView view) {
        return view.vms().stream().filter(vm -> !view.isReachable(vm.id())).count();
    }
}
