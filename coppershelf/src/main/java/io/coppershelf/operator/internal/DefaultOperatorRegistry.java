package io.coppershelf.operator.internal;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import io.coppershelf.operator.OperatorRegistry;
import io.coppershelf.operator.StatusContributor;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Keeps what the parts have registered for operators. */
public final class DefaultOperatorRegistry implements OperatorRegistry {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final List<StatusContributor> sources = new CopyOnWriteArrayList<>();
    private final Map<String, BooleanSupplier> conditions = new ConcurrentHashMap<>();
    private final PrometheusRegistry metrics = new PrometheusRegistry();

    /** Creates a desk whose metrics tell of the process itself. */
    public DefaultOperatorRegistry() {
        ProcessMetrics.register(metrics);
    }

    @Override
    public void addStatus(StatusContributor source) {
        sources.add(source);
    }

    @Override
    public void addReadiness(String name, BooleanSupplier condition) {
        conditions.put(name, condition);
    }

    @Override
    public PrometheusRegistry metrics() {
        return metrics;
    }

    /** Lets each part add to the document; a part that fails leaves the others in place. */
    void describe(ObjectNode status) {
        for (StatusContributor source : sources) {
            try {
                source.describe(status);
            } catch (RuntimeException e) {
                logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).withCause(e).log(
                        "[operator] A part has no status.");
            }
        }
    }

    /** Returns the names of the conditions that do not hold, in order. */
    List<String> unmetConditions() {
        return conditions.entrySet().stream()
                .filter(entry -> !entry.getValue().getAsBoolean())
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }
}
