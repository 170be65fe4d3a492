package io.coppershelf.routing;

import io.coppershelf.component.ComponentKey;
import java.util.concurrent.CompletableFuture;

/** Serves complete requests of callers. Thread-safe. */
public interface RequestPipeline {
    ComponentKey<RequestPipeline> NAME = ComponentKey.named("routing", RequestPipeline.class);

    /**
     * Serves a request; the future never completes exceptionally and always before the deadline plus a short margin.
     */
    CompletableFuture<RequestResult> serve(InboundRequest request);
}
