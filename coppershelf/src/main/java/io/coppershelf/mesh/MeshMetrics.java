package io.coppershelf.mesh;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import java.util.Optional;

/** Measures how current the control state of this VM is. */
public final class MeshMetrics {
    private static final double NANOS_PER_SECOND = 1e9;

    /** What became of an update of the catalog that another VM sent. */
    enum UpdateOutcome {
        /** Its changes were new and are in force. */
        APPLIED,
        /** Its changes were known; it confirms that the catalog is current. */
        CONFIRMED,
        /** Ignored, since this VM has not received an earlier change. */
        GAP,
        /** Ignored, since this VM needs a complete reading first. */
        INCOMPLETE
    }

    private final Counter updates;
    private final Counter ignored;
    private final Histogram controlDelay;
    private Optional<Long> lastTickNanos = Optional.empty();
    private final Counter tokenMessages;

    /** Registers the metrics. */
    public MeshMetrics(PrometheusRegistry registry) {
        updates = Counter.builder()
                .name("coppershelf_catalog_updates_total")
                .help("Updates of the catalog received from other VMs by outcome")
                .labelNames("outcome")
                .withoutExemplars()
                .register(registry);
        ignored = Counter.builder()
                .name("coppershelf_mesh_messages_ignored_total")
                .help("Messages of other VMs of a type that only later builds know")
                .register(registry);
        tokenMessages = Counter.builder()
                .name("coppershelf_token_messages_total")
                .help("Messages about tokens of tenants sent to other VMs")
                .register(registry);
        controlDelay = Histogram.builder()
                .name("coppershelf_control_delay_seconds")
                .help("Time by which a periodic action of the control thread started late")
                .classicOnly()
                .classicUpperBounds(0.01, 0.05, 0.25, 1, 2.5)
                .withoutExemplars()
                .register(registry);
    }

    void recordUpdate(UpdateOutcome outcome) {
        updates.labelValues(outcome.name().toLowerCase(Locale.ROOT)).inc();
    }

    void recordIgnored() {
        ignored.inc();
    }

    void recordTokenMessage() {
        tokenMessages.inc();
    }

    /** Records that the periodic action of the control thread has started. */
    void recordTick(long nowNanos, long intervalNanos) {
        lastTickNanos.ifPresent(last -> recordControlDelay(nowNanos - last - intervalNanos));
        lastTickNanos = Optional.of(nowNanos);
    }

    void recordControlDelay(long nanos) {
        controlDelay.observe(Math.max(0, nanos) / NANOS_PER_SECOND);
    }
}
