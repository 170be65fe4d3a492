package io.coppershelf.caller;

import io.coppershelf.caller.internal.CallerServer;
import io.coppershelf.caller.internal.CallerTimeouts;
import io.coppershelf.caller.internal.ServerProperties;
import io.coppershelf.kernel.Part;
import io.coppershelf.kernel.ServiceRegistry;
import io.coppershelf.operator.OperatorDesk;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

/** The part that takes callers' requests; the operator desk must be registered before {@link #register} is called. */
public final class CallerPart implements Part {
    private final CallerTimeouts timeouts;
    private volatile Optional<CallerServer> server = Optional.empty();

    /** Creates the part and sets the properties of the JDK's server, before its classes load. */
    public CallerPart() {
        this(CallerTimeouts.DEFAULT);
    }

    /** Creates a part with other timeouts. */
    CallerPart(CallerTimeouts timeouts) {
        ServerProperties.apply();
        this.timeouts = timeouts;
    }

    @Override
    public String name() {
        return "caller";
    }

    @Override
    public void register(ServiceRegistry registry) {
        registry.require(OperatorDesk.NAME).addReadiness(name(), this::isReady);
    }

    private boolean isReady() {
        return server.filter(CallerServer::isServing).isPresent();
    }

    @Override
    public void start(ServiceRegistry registry) {
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
