package io.coppershelf.caller;

import io.coppershelf.caller.internal.CallerServer;
import io.coppershelf.caller.internal.ServerProperties;
import io.coppershelf.kernel.Part;
import io.coppershelf.kernel.ServiceRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;

/** The part that takes callers' requests. */
public final class CallerPart implements Part {
    private CallerServer server;

    /** Creates the part and sets the properties of the JDK's server, before its classes load. */
    public CallerPart() {
        ServerProperties.apply();
    }

    @Override
    public String name() {
        return "caller";
    }

    @Override
    public void register(ServiceRegistry registry) {}

    @Override
    public void start(ServiceRegistry registry) {
        server = CallerServer.start(registry);
    }

    /** Returns the address on which callers are served. */
    public InetSocketAddress address() {
        return server.address();
    }

    @Override
    public void announceStop() {
        server.beginStop();
    }

    @Override
    public void stop(Duration limit) {
        server.stop(limit);
    }
}
