package io.coppershelf.operator;

import com.google.common.flogger.FluentLogger;
import io.coppershelf.component.Component;
import io.coppershelf.component.ComponentRegistry;
import io.coppershelf.component.TimeSource;
import io.coppershelf.membership.FleetView;
import io.coppershelf.operator.internal.DefaultOperatorRegistry;
import io.coppershelf.operator.internal.FleetStatus;
import io.coppershelf.operator.internal.HybridLogicalClock;
import io.coppershelf.operator.internal.OperatorServer;
import io.coppershelf.operator.internal.StatusPages;
import io.coppershelf.operator.internal.TimelineBuffer;
import io.coppershelf.outcome.CoppershelfException;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.settings.Settings;
import io.coppershelf.ticket.Configuration;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

/**
 * The component that serves operators. Requires {@link Settings} in the registry before {@link #register}; it should be
 * the first component to start and the last to stop.
 */
public final class OperatorComponent implements Component {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int TIMELINE_CAPACITY = 4096;

    private final DefaultOperatorRegistry operatorRegistry = new DefaultOperatorRegistry();
    private Optional<OperatorServer> server = Optional.empty();
    private Optional<StatusPages> pages = Optional.empty();

    @Override
    public String name() {
        return "operator";
    }

    @Override
    public void register(ComponentRegistry registry) {
        Settings settings = registry.require(Settings.NAME);
        HybridClock clock =
                new HybridLogicalClock(registry.find(TimeSource.NAME).orElseGet(TimeSource::system));
        TimelineBuffer timeline = new TimelineBuffer(clock, settings.vm(), TIMELINE_CAPACITY);
        registry.register(OperatorRegistry.NAME, operatorRegistry);
        registry.register(HybridClock.NAME, clock);
        registry.register(Timeline.NAME, timeline);
        pages = Optional.of(new StatusPages(settings.vm(), settings.dataCentre(), operatorRegistry));
        server = Optional.of(open(settings, pages.get(), timeline, clock));
    }

    @Override
    public void start(ComponentRegistry registry) {
        Optional<Configuration.Source> configurations = registry.find(Configuration.Source.NAME);
        Optional<FleetView.Source> fleet = registry.find(FleetView.Source.NAME);
        if (configurations.isPresent() && fleet.isPresent()) {
            FleetStatus status = new FleetStatus(configurations.get(), fleet.get());
            pages.ifPresent(statusPages -> statusPages.setFleet(status));
        }
        server.ifPresent(OperatorServer::start);
        logger.atInfo().log("[operator] Listening on port %d.", port());
        registry.require(Timeline.NAME).record(Timeline.Event.of(name(), "Daemon starts."));
    }

    @Override
    public void stop(Duration limit) {
        server.ifPresent(OperatorServer::stop);
        logger.atInfo().log("[operator] Stopped.");
    }

    /** Returns the port for operators, 0 before {@link #register}. */
    public int port() {
        return server.map(OperatorServer::port).orElse(0);
    }

    private OperatorServer open(
            Settings settings, StatusPages statusPages, TimelineBuffer timeline, HybridClock clock) {
        InetSocketAddress address = new InetSocketAddress(settings.host(), settings.operatorPort());
        try {
            return new OperatorServer(address, settings.vm(), statusPages, operatorRegistry, timeline, clock);
        } catch (IOException e) {
            throw CoppershelfException.causedBy(
                    ErrorKind.INVALID_SETTINGS, "operator port " + address + " can't be bound: " + e.getMessage(), e);
        }
    }
}
