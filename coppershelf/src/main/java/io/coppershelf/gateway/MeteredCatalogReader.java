package io.coppershelf.gateway;

import io.coppershelf.catalog.CatalogChange;
import io.coppershelf.catalog.CatalogReader;
import io.coppershelf.catalog.CatalogRevision;
import io.coppershelf.catalog.FleetConfiguration;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.Locale;
import java.util.function.Consumer;

/** Counts the readings of the platform by kind and outcome, and measures their duration. */
final class MeteredCatalogReader implements CatalogReader {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final String COMPLETE = "complete";
    private static final String CHANGES = "changes";
    private static final String CONFIGURATION = "configuration";

    private final CatalogReader reader;
    private final Counter readings;
    private final Histogram duration;

    MeteredCatalogReader(CatalogReader reader, PrometheusRegistry registry) {
        this.reader = reader;
        readings = Counter.builder()
                .name("coppershelf_platform_readings_total")
                .help("Readings of the platform by kind and outcome")
                .labelNames("kind", "outcome")
                .withoutExemplars()
                .register(registry);
        duration = Histogram.builder()
                .name("coppershelf_platform_reading_duration_seconds")
                .help("Time from the begin of a reading of the platform to its end")
                .classicOnly()
                .classicUpperBounds(0.01, 0.05, 0.15, 0.5, 1, 2)
                .withoutExemplars()
                .register(registry);
    }

    @Override
    public void readAll(Listener listener) {
        reader.readAll(metered(COMPLETE, listener));
    }

    @Override
    public void readChanges(CatalogRevision revision, Duration wait, Listener listener) {
        reader.readChanges(revision, wait, metered(CHANGES, listener));
    }

    @Override
    public void readConfigurationAllowingStale(long version, Consumer<FleetConfiguration> onRead, Runnable onFailure) {
        long startNanos = System.nanoTime();
        reader.readConfigurationAllowingStale(
                version,
                configuration -> {
                    count(CONFIGURATION, "read", startNanos);
                    onRead.accept(configuration);
                },
                () -> {
                    count(CONFIGURATION, "failed", startNanos);
                    onFailure.run();
                });
    }

    private Listener metered(String kind, Listener listener) {
        long startNanos = System.nanoTime();
        return new Listener() {
            @Override
            public void readSucceeded(CatalogChange change) {
                count(kind, "read", startNanos);
                listener.readSucceeded(change);
            }

            @Override
            public void readFailed(Failure failure, String reason) {
                count(kind, failure.name().toLowerCase(Locale.ROOT), startNanos);
                listener.readFailed(failure, reason);
            }
        };
    }

    private void count(String kind, String outcome, long startNanos) {
        readings.labelValues(kind, outcome).inc();
        duration.observe((System.nanoTime() - startNanos) / NANOS_PER_SECOND);
    }
}
