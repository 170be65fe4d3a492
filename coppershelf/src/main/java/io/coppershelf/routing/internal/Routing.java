package io.coppershelf.routing.internal;

import io.coppershelf.admission.AttemptSender;
import io.coppershelf.admission.OwnerLookup;
import io.coppershelf.claim.Claims;
import io.coppershelf.component.ComponentRegistry;
import io.coppershelf.component.TimeSource;
import io.coppershelf.membership.FleetView;
import io.coppershelf.operator.Timeline;
import io.coppershelf.routing.InboundRequest;
import io.coppershelf.routing.RequestPipeline;
import io.coppershelf.routing.RequestResult;
import io.coppershelf.routing.internal.RoutedRequest.RoutingContext;
import io.coppershelf.settings.Settings;
import io.coppershelf.ticket.Configuration;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

/** Creates and connects the objects of the routing component. */
public final class Routing implements RequestPipeline, AutoCloseable {
    private final RequestTimers timers = new RequestTimers();
    private volatile RequestPipeline pipeline;

    /** Looks up the interfaces of other components. */
    public void start(ComponentRegistry registry) {
        TimeSource time = registry.require(TimeSource.NAME);
        OwnerLookup lookup = new OwnerLookup(registry.require(FleetView.Source.NAME));
        Settings settings = registry.require(Settings.NAME);
        GroupLoadCache loads = new GroupLoadCache();
        Random random = new Random(settings.vm().hashCode() ^ time.nanos());
        AttemptPolicies policies = new AttemptPolicies(
                new ServiceGroups(registry.require(Configuration.Source.NAME)),
                lookup,
                loads,
                new GroupSelector(settings.dataCentre(), random));
        pipeline = new RoutedPipeline(
                new RoutingContext(registry.require(AttemptSender.NAME), lookup, loads, time),
                policies,
                registry.require(Claims.NAME),
                registry.require(Timeline.NAME),
                timers);
    }

    @Override
    public CompletableFuture<RequestResult> serve(InboundRequest request) {
        return pipeline.serve(request);
    }

    @Override
    public void close() {
        timers.close();
    }
}
