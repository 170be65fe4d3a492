package io.coppershelf.routing;

import io.coppershelf.kernel.Part;
import io.coppershelf.kernel.ServiceRegistry;
import io.coppershelf.routing.internal.Routing;
import java.time.Duration;

/** The part that takes a request from receipt to answer. */
public final class RoutingPart implements Part {
    private final Routing routing = new Routing();

    @Override
    public String name() {
        return "routing";
    }

    @Override
    public void register(ServiceRegistry registry) {
        registry.register(RequestPipeline.NAME, routing);
    }

    @Override
    public void start(ServiceRegistry registry) {
        routing.start(registry);
    }

    @Override
    public void stop(Duration limit) {
        routing.close();
    }
}
