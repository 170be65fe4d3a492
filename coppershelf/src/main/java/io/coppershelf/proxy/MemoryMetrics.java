package io.coppershelf.proxy;

import io.coppershelf.eventlog.EventLog;
import io.coppershelf.eventlog.Fields;
import io.coppershelf.http.BodyKind;
import io.coppershelf.http.BodyMemory;
import io.coppershelf.http.MemoryCounts;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;

/** Publishes the use of the memory for bodies, and logs when it is short. Confined to the traffic thread. */
final class MemoryMetrics {
    private final BodyMemory memory;
    private final EventLog log;
    private final Gauge heldBytes;
    private final Counter events;
    private long paused;
    private long closed;
    private long refused;

    MemoryMetrics(BodyMemory memory, PrometheusRegistry registry, EventLog log) {
        this.memory = memory;
        this.log = log;
        heldBytes = Gauge.builder()
                .name("coppershelf_body_bytes")
                .help("Memory that the bodies of requests and answers take")
                .labelNames("kind")
                .withoutExemplars()
                .register(registry);
        events = Counter.builder()
                .name("coppershelf_memory_events_total")
                .help("Reads paused, connections closed and requests refused for lack of memory")
                .labelNames("event")
                .withoutExemplars()
                .register(registry);
    }

    /** Publishes what happened since the last call; called once a second. */
    void report() {
        for (BodyKind kind : BodyKind.values()) {
            heldBytes.labelValues(kind.name().toLowerCase(Locale.ROOT)).set((double) memory.usedBytes(kind));
        }
        MemoryCounts counts = memory.counts();
        long newlyPaused = counts.paused() - paused;
        long newlyClosed = counts.closed() - closed;
        long newlyRefused = counts.refused() - refused;
        paused = counts.paused();
        closed = counts.closed();
        refused = counts.refused();
        long peakBytes = counts.pollPeakBytes();
        if (newlyPaused + newlyClosed + newlyRefused == 0 && !memory.isShort()) {
            return;
        }
        events.labelValues("paused").inc(newlyPaused);
        events.labelValues("closed").inc(newlyClosed);
        events.labelValues("refused").inc(newlyRefused);
        log.important(
                "memory-short",
                Fields.of(
                        "limitBytes", memory.limitBytes(),
                        "peakBytes", peakBytes,
                        "requestBytes", memory.usedBytes(BodyKind.REQUEST),
                        "answerBytes", memory.usedBytes(BodyKind.ANSWER),
                        "deliveryBytes", memory.usedBytes(BodyKind.DELIVERY),
                        "pausedReads", memory.pausedReads(),
                        "paused", newlyPaused,
                        "closed", newlyClosed,
                        "refused", newlyRefused));
    }
}
