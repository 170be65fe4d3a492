package io.coppershelf.proxy;

import io.coppershelf.overload.RankOrder;
import io.coppershelf.overload.ShortageCounts;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.HashSet;
import java.util.Set;

/** Metrics of the decisions while services are short of capacity. */
final class AdmissionMetrics {
    /** Largest number of services with gauges of their own, which bounds the size of the page. */
    private static final int MAX_SERVICES = 50;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Counter decisions;
    private final Gauge threshold;
    private final Gauge expectedWait;
    private final Set<String> shown = new HashSet<>();

    AdmissionMetrics(PrometheusRegistry registry) {
        decisions = Counter.builder()
                .name("coppershelf_admissions_total")
                .help("Decisions on requests of services that are short of capacity, by priority and outcome")
                .labelNames("priority", "outcome")
                .register(registry);
        threshold = Gauge.builder()
                .name("coppershelf_admission_threshold")
                .help("Priorities that are admitted by a service that is short of capacity; 0 is none")
                .labelNames("service")
                .register(registry);
        expectedWait = Gauge.builder()
                .name("coppershelf_admission_wait_seconds")
                .help("Expected wait in the servers' queues of a service that is short of capacity")
                .labelNames("service")
                .register(registry);
    }

    /** Records the decisions of a second. */
    void record(String service, RankOrder ranks, ShortageCounts.Summary summary, boolean isShort) {
        for (int i = 0; i < ranks.size(); i++) {
            String priority = Integer.toString(ranks.sorted().get(i));
            count(priority, "admitted", summary.admitted().get(i));
            count(priority, "refused", summary.refused().get(i));
        }
        if (isShort && (shown.contains(service) || shown.size() < MAX_SERVICES)) {
            shown.add(service);
            threshold.labelValues(service).set(summary.threshold());
            expectedWait.labelValues(service).set(summary.expectedWait().toNanos() / NANOS_PER_SECOND);
        } else if (shown.remove(service)) {
            threshold.remove(service);
            expectedWait.remove(service);
        }
    }

    private void count(String priority, String outcome, int number) {
        if (number > 0) {
            decisions.labelValues(priority, outcome).inc(number);
        }
    }
}
