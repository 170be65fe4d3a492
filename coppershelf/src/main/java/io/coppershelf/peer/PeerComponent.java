package io.coppershelf.peer;

import com.google.common.flogger.FluentLogger;
import io.coppershelf.component.Component;
import io.coppershelf.component.ComponentRegistry;
import io.coppershelf.membership.FleetView;
import io.coppershelf.operator.HybridClock;
import io.coppershelf.operator.OperatorRegistry;
import io.coppershelf.peer.internal.NioPeerExchange;
import io.coppershelf.settings.Settings;
import java.time.Duration;
import java.util.Optional;

/**
 * The component of the daemon that exchanges messages with peers. The settings, the fleet view and the operator
 * registry must be registered before {@link #register} is called on this component, and so must a {@link LinkFilter} if
 * a test uses one.
 */
public final class PeerComponent implements Component {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private Optional<NioPeerExchange> exchange = Optional.empty();

    @Override
    public String name() {
        return "peer";
    }

    @Override
    public void register(ComponentRegistry registry) {
        NioPeerExchange created = new NioPeerExchange(
                registry.require(FleetView.Source.NAME),
                registry.find(LinkFilter.NAME).orElse(LinkFilter.ALL),
                registry.require(OperatorRegistry.NAME).metrics(),
                registry.require(Settings.NAME).trafficThreads());
        exchange = Optional.of(created);
        registry.register(PeerExchange.NAME, created);
    }

    @Override
    public void start(ComponentRegistry registry) {
        Settings settings = registry.require(Settings.NAME);
        registry.find(HybridClock.NAME).ifPresent(exchange.orElseThrow()::useClock);
        int port = exchange.orElseThrow().listen(settings.host(), settings.peerPort());
        logger.atInfo().log("[peer] Listening on %s:%d.", settings.host(), port);
    }

    @Override
    public void stop(Duration limit) {
        exchange.ifPresent(NioPeerExchange::close);
        logger.atInfo().log("[peer] Closed all connections.");
    }
}
