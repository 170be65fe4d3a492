package io.coppershelf.routing;

import io.coppershelf.component.Component;
import io.coppershelf.component.ComponentRegistry;
import io.coppershelf.routing.internal.Routing;
import java.time.Duration;

/** The component that serves requests from receipt to answer. */
public final class RoutingComponent implements Component {
    private final Routing routing = new Routing();

    @Override
    public String name() {
        return "routing";
    }

    @Override
    public void register(ComponentRegistry registry) {
        registry.register(RequestPipeline.NAME, routing);
    }

    @Override
    public void start(ComponentRegistry registry) {
        routing.start(registry);
    }

    @Override
    public void stop(Duration limit) {
        routing.close();
    }
}
