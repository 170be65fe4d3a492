package io.coppershelf.routing;

import io.coppershelf.kernel.ServiceName;
import java.util.concurrent.CompletableFuture;

/** Serves whole requests of callers. Safe for use by several threads. */
public interface RequestPipeline {
    ServiceName<RequestPipeline> NAME = ServiceName.named("routing", RequestPipeline.class);

    /**
     * Serves a request; the future never completes exceptionally and always before the deadline plus a short margin.
     */
    CompletableFuture<RequestResult> serve(InboundRequest request);
}
