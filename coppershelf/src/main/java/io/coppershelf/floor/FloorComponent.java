package io.coppershelf.floor;

import com.google.common.flogger.FluentLogger;
import io.coppershelf.component.Component;
import io.coppershelf.component.ComponentRegistry;
import io.coppershelf.component.ControlThread;
import io.coppershelf.component.TimeSource;
import io.coppershelf.floor.internal.FloorAction;
import io.coppershelf.floor.internal.FloorCodecs;
import io.coppershelf.floor.internal.FloorMessage;
import io.coppershelf.floor.internal.FloorNode;
import io.coppershelf.membership.FleetView;
import io.coppershelf.operator.OperatorRegistry;
import io.coppershelf.operator.Timeline;
import io.coppershelf.peer.PeerExchange;
import io.coppershelf.peer.PeerMessageCodec;
import io.coppershelf.ticket.Configuration;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** Runs the floor protocol's state machine on the control thread and provides the ejection grants. */
public final class FloorComponent implements Component, EjectionGrants {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

    private final Map<GrantKey, Listener> listeners = new ConcurrentHashMap<>();
    private final CandidacyScan scan = new CandidacyScan();
    private ControlThread control;
    private TimeSource time;
    private PeerExchange peers;
    private FleetView.Source fleet;
    private Configuration.Source configurations;
    private Optional<Timeline> timeline = Optional.empty();
    private FloorNode node;

    @Override
    public String name() {
        return "floor";
    }

    @Override
    public void register(ComponentRegistry registry) {
        registry.register(EjectionGrants.NAME, this);
    }

    @Override
    public void start(ComponentRegistry registry) {
        control = registry.require(ControlThread.NAME);
        time = registry.require(TimeSource.NAME);
        peers = registry.require(PeerExchange.NAME);
        fleet = registry.require(FleetView.Source.NAME);
        configurations = registry.require(Configuration.Source.NAME);
        timeline = registry.find(Timeline.NAME);
        node = new FloorNode(fleet.current(), configurations.current(), time.nanos());
        FloorCodecs.all().forEach(this::register);
        fleet.onChange(this::onFleet);
        configurations.onChange(this::onConfiguration);
        control.every(TICK_INTERVAL, this::onTick);
        registry.find(OperatorRegistry.NAME).ifPresent(this::registerStatus);
        logger.atInfo().log("[floor] Started; this VM votes after one lease duration.");
    }

    @Override
    public void stop(Duration limit) {
        logger.atInfo().log("[floor] Stopped; the grants of this VM expire.");
    }

    @Override
    public void request(String service, String server, Listener listener) {
        listeners.put(new GrantKey(service, server), listener);
        control.execute(() -> perform(node.request(service, server, time.nanos())));
    }

    @Override
    public void release(String service, String server) {
        listeners.remove(new GrantKey(service, server));
        control.execute(() -> perform(node.release(service, server)));
    }

    @Override
    public void reportOutOfService(String service, String server, boolean out) {
        control.execute(() -> perform(node.reportOutOfService(service, server, out, time.nanos())));
    }

    private <T extends FloorMessage> void register(PeerMessageCodec<T> codec) {
        peers.register(codec, (sender, message, replies) -> control.execute(() -> onMessage(sender, message)));
    }

    private void onMessage(String sender, FloorMessage message) {
        perform(node.onMessage(sender, message, time.nanos()));
    }

    private void onFleet() {
        node.onFleet(fleet.current(), time.nanos());
        scan.restart();
    }

    private void onConfiguration() {
        perform(node.onConfiguration(configurations.current(), time.nanos()));
        scan.restart();
    }

    private void onTick() {
        scan.nextServices(configurations.current(), fleet.current().vms().size())
                .forEach(node::becomeCandidateIfBestRanked);
        perform(node.onTick(time.nanos()));
    }

    private void perform(List<FloorAction> actions) {
        for (FloorAction action : actions) {
            perform(action);
        }
    }

    private void perform(FloorAction action) {
        if (action instanceof FloorAction.Send send) {
            send(send.target(), send.message());
            return;
        }
        if (action instanceof FloorAction.Granted granted) {
            listener(granted.service(), granted.server())
                    .ifPresent(listener -> listener.granted(granted.server(), granted.untilNanos()));
            return;
        }
        if (action instanceof FloorAction.Refused refused) {
            listener(refused.service(), refused.server()).ifPresent(listener -> listener.refused(refused.server()));
            return;
        }
        FloorAction.Revoked revoked = (FloorAction.Revoked) action;
        record(revoked);
        listener(revoked.service(), revoked.server()).ifPresent(listener -> listener.revoked(revoked.server()));
    }

    private void send(String target, FloorMessage message) {
        if (target.equals(fleet.current().self().id())) {
            control.execute(() -> onMessage(target, message));
            return;
        }
        fleet.current().vm(target).ifPresent(vm -> peers.send(vm, message));
    }

    private Optional<Listener> listener(String service, String server) {
        return Optional.ofNullable(listeners.get(new GrantKey(service, server)));
    }

    private void record(FloorAction.Revoked revoked) {
        logger.atInfo().log("[floor] The grant to eject %s ended early.", revoked.server());
        timeline.ifPresent(events -> events.record(Timeline.Event.of("floor", "right to eject ended early")
                .ofService(revoked.service())
                .ofServer(revoked.server())));
    }

    private void registerStatus(OperatorRegistry operators) {
        FloorStatus status = new FloorStatus();
        control.every(Duration.ofSeconds(1), () -> status.update(node, time.nanos()));
        operators.addStatus(status);
    }

    private record GrantKey(String service, String server) {}
}
