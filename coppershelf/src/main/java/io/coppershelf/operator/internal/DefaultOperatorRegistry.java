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

/** Stores what the components register for operators. */
public final class DefaultOperatorRegistry implements OperatorRegistry {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final List<StatusContributor> contributors = new CopyOnWriteArrayList<>();
    private final Map<String, BooleanSupplier> readinessConditions = new ConcurrentHashMap<>();
    private final PrometheusRegistry metrics = new PrometheusRegistry();

    /** Creates a registry with the metrics of the process. */
    public DefaultOperatorRegistry() {
        ProcessMetrics.register(metrics);
    }

    @Override
    public void addStatus(StatusContributor contributor) {
        contributors.add(contributor);
    }

    @Override
    public void addReadiness(String name, BooleanSupplier condition) {
        readinessConditions.put(name, condition);
    }

    @Override
    public PrometheusRegistry metrics() {
        return metrics;
    }

    /** Lets each contributor add to the document; the failure of one does not affect the others. */
    void describe(ObjectNode status) {
        for (StatusContributor contributor : contributors) {
            try {
                contributor.describe(status);
            } catch (RuntimeException e) {
                logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).withCause(e).log(
                        "[operator] A component failed to report its status.");
            }
        }
    }

    /** Returns the names of the readiness conditions that do not hold, sorted. */
    List<String> unmetConditions() {
        return readinessConditions.entrySet().stream()
                .filter(entry -> !entry.getValue().getAsBoolean())
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }
}
