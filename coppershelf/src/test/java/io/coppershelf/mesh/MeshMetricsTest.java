package io.coppershelf.mesh;

import static com.google.common.truth.Truth.assertThat;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class MeshMetricsTest {
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final MeshMetrics metrics = new MeshMetrics(registry);

    @Test
    void updatesAreCountedByOutcome() throws IOException {
        metrics.recordUpdate(MeshMetrics.UpdateOutcome.GAP);
        metrics.recordUpdate(MeshMetrics.UpdateOutcome.GAP);
        metrics.recordUpdate(MeshMetrics.UpdateOutcome.APPLIED);
        assertThat(text()).contains("coppershelf_catalog_updates_total{outcome=\"gap\"} 2.0");
        assertThat(text()).contains("coppershelf_catalog_updates_total{outcome=\"applied\"} 1.0");
    }

    @Test
    void delayOfTheControlThreadIsMeasured() throws IOException {
        metrics.recordControlDelay(TimeUnit.MILLISECONDS.toNanos(300));
        metrics.recordControlDelay(-1);
        assertThat(text()).contains("coppershelf_control_delay_seconds_bucket{le=\"0.01\"} 1");
        assertThat(text()).contains("coppershelf_control_delay_seconds_bucket{le=\"1.0\"} 2");
    }

    private String text() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrometheusTextFormatWriter.create().write(out, registry.scrape());
        return out.toString(StandardCharsets.UTF_8);
    }
}
