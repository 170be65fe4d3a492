package io.coppershelf.ticket;

import io.coppershelf.component.Component;
import io.coppershelf.component.ComponentRegistry;
import io.coppershelf.component.ControlThread;
import io.coppershelf.component.TimeSource;
import io.coppershelf.membership.FleetView;
import io.coppershelf.operator.OperatorRegistry;
import io.coppershelf.operator.Timeline;
import io.coppershelf.peer.PeerExchange;
import io.coppershelf.platform.Platform;
import io.coppershelf.ticket.internal.spread.ConfigurationHolder;
import io.coppershelf.ticket.internal.spread.SpreadDriver;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import java.time.Duration;

/** The component of the daemon that brings the tickets of the platform and of the peers into force. */
public final class TicketComponent implements Component {
    private final ConfigurationHolder holder = new ConfigurationHolder();

    @Override
    public String name() {
        return "ticket";
    }

    @Override
    public void register(ComponentRegistry registry) {
        registry.register(Configuration.Source.NAME, holder);
    }

    @Override
    public void start(ComponentRegistry registry) {
        OperatorRegistry operatorRegistry = registry.require(OperatorRegistry.NAME);
        SpreadDriver driver = new SpreadDriver(
                holder,
                registry.require(ControlThread.NAME),
                registry.require(TimeSource.NAME),
                registry.require(FleetView.Source.NAME),
                registry.require(PeerExchange.NAME),
                registry.find(Platform.NAME),
                registry.require(Timeline.NAME),
                operatorRegistry.metrics());
        operatorRegistry.addReadiness("tickets", driver::isReady);
        GaugeWithCallback.builder()
                .name("coppershelf_ticket_number")
                .help("Number of the highest ticket in force.")
                .callback(callback -> callback.call((double) holder.current().ticketNumber()))
                .register(operatorRegistry.metrics());
        driver.start();
    }

    @Override
    public void stop(Duration limit) {}
}
