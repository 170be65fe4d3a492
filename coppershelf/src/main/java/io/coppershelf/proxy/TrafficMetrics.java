package io.coppershelf.proxy;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counters and histograms of the traffic path. Label values are kinds and outcomes, never names of routes or servers.
 */
final class TrafficMetrics {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Counter requests;
    private final Counter attempts;
    private final Counter relays;
    private final Counter crashes;
    private final Counter capRefusals;
    private final Histogram duration;
    private final AtomicInteger inFlight = new AtomicInteger();

    TrafficMetrics(PrometheusRegistry registry) {
        requests = Counter.builder()
                .name("coppershelf_requests_total")
                .help("Requests of callers by outcome")
                .labelNames("outcome")
                .withoutExemplars()
                .register(registry);
        attempts = Counter.builder()
                .name("coppershelf_attempts_total")
                .help("Requests sent to backend servers by outcome")
                .labelNames("outcome")
                .withoutExemplars()
                .register(registry);
        relays = Counter.builder()
                .name("coppershelf_relays_total")
                .help("Requests handed to other VMs by outcome")
                .labelNames("outcome")
                .withoutExemplars()
                .register(registry);
        crashes = Counter.builder()
                .name("coppershelf_server_crashes_total")
                .help("Crashes of backend servers while they ran a request of this VM, one for each such request")
                .withoutExemplars()
                .register(registry);
        capRefusals = Counter.builder()
                .name("coppershelf_usage_cap_refusals_total")
                .help("Requests of tenants refused over the cap, or without an answer of a VM that grants tokens")
                .labelNames("reason")
                .register(registry);
        duration = Histogram.builder()
                .name("coppershelf_request_duration_seconds")
                .help("Time from the end of a request's head to its answer")
                .classicOnly()
                .classicUpperBounds(0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8)
                .withoutExemplars()
                .register(registry);
    }

    void requestStarted() {
        inFlight.incrementAndGet();
    }

    void requestEnded() {
        inFlight.decrementAndGet();
    }

    /** Returns the number of requests that have no answer yet. */
    int inFlight() {
        return inFlight.get();
    }

    void recordRequest(String outcome, long nanos) {
        requests.labelValues(outcome).inc();
        duration.observe(nanos / NANOS_PER_SECOND);
    }

    void recordRelay(String outcome) {
        relays.labelValues(outcome).inc();
    }

    void recordCapRefusal(boolean isOverCap) {
        capRefusals.labelValues(isOverCap ? "over-cap" : "no-answer").inc();
    }

    void recordCrash() {
        crashes.inc();
    }

    void recordAttempt(String outcome) {
        attempts.labelValues(outcome).inc();
    }
}
