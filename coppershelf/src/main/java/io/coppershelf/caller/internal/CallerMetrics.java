package io.coppershelf.caller.internal;

import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.routing.RequestResult;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Counts callers' requests and their latency. */
final class CallerMetrics {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double[] LATENCY_BOUNDS_SECONDS = {0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5};

    private final Counter requests;
    private final Histogram latency;

    CallerMetrics(PrometheusRegistry registry) {
        requests = Counter.builder()
                .name("coppershelf_requests_total")
                .help("Callers' requests by service and error kind; the kind is none for an answer of a server.")
                .labelNames("service", "error")
                .register(registry);
        latency = Histogram.builder()
                .name("coppershelf_request_seconds")
                .help("Time from receipt of a request's head to its answer, in seconds.")
                .labelNames("service")
                .classicOnly()
                .classicUpperBounds(LATENCY_BOUNDS_SECONDS)
                .register(registry);
    }

    /** Counts a request that was served or refused by the pipeline. */
    void record(String service, RequestResult result, long latencyNanos) {
        requests.labelValues(service, result.error().map(ErrorKind::code).orElse("none"))
                .inc();
        latency.labelValues(service).observe(latencyNanos / NANOS_PER_SECOND);
    }

    /** Counts a request that was refused before it reached the pipeline. */
    void recordInvalid(ErrorKind error) {
        requests.labelValues("none", error.code()).inc();
    }
}
