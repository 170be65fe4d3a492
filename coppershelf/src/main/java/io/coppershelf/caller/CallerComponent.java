package io.coppershelf.caller;

import io.coppershelf.caller.internal.CallerServer;
import io.coppershelf.caller.internal.CallerTimeouts;
import io.coppershelf.caller.internal.ServerProperties;
import io.coppershelf.component.Component;
import io.coppershelf.component.ComponentRegistry;
import io.coppershelf.operator.OperatorRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

/** The component that serves callers. Requires {@link OperatorRegistry} in the registry before {@link #register}. */
public final class CallerComponent implements Component {
    private final CallerTimeouts timeouts;
    private volatile Optional<CallerServer> server = Optional.empty();

    /** Creates the component and sets the system properties of the JDK's HTTP server before its classes are loaded. */
    public CallerComponent() {
        this(CallerTimeouts.DEFAULT);
    }

    /** Creates a component with the given timeouts. */
    CallerComponent(CallerTimeouts timeouts) {
        ServerProperties.apply();
        this.timeouts = timeouts;
    }

    @Override
    public String name() {
        return "caller";
    }

    @Override
    public void register(ComponentRegistry registry) {
        registry.require(OperatorRegistry.NAME).addReadiness(name(), this::isReady);
    }

    private boolean isReady() {
        return server.filter(CallerServer::isServing).isPresent();
    }

    @Override
    public void start(ComponentRegistry registry) {
        server = Optional.of(CallerServer.start(registry, timeouts));
    }

    /** Returns the address on which callers are served. */
    public InetSocketAddress address() {
        return server.orElseThrow().address();
    }

    @Override
    public void announceStop() {
        server.ifPresent(CallerServer::beginStop);
    }

    @Override
    public void stop(Duration limit) {
        server.ifPresent(running -> running.stop(limit));
    }
}
