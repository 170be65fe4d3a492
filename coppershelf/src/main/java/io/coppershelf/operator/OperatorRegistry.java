package io.coppershelf.operator;

import io.coppershelf.component.ComponentKey;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.BooleanSupplier;

/** Registry of what components show to operators: status, readiness conditions and metrics. Thread-safe. */
public interface OperatorRegistry {
    ComponentKey<OperatorRegistry> NAME = ComponentKey.named("operator", OperatorRegistry.class);

    /** Registers a component's contribution to {@code GET /status}. */
    void addStatus(StatusContributor source);

    /** Registers a condition that must hold for {@code GET /ready} to answer 200. */
    void addReadiness(String name, BooleanSupplier condition);

    /** Returns the registry of Prometheus metrics. */
    PrometheusRegistry metrics();
}
