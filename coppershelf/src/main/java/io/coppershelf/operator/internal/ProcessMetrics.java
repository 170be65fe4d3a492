package io.coppershelf.operator.internal;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.Unit;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;

/** Metrics of the process as a whole: heap, CPU time and threads. */
final class ProcessMetrics {
    private static final double NANOS_PER_SECOND = 1e9;

    private ProcessMetrics() {}

    static void register(PrometheusRegistry registry) {
        registerHeap(registry, ManagementFactory.getMemoryMXBean());
        GaugeWithCallback.builder()
                .name("jvm_threads")
                .help("Live threads.")
                .callback(
                        gauge -> gauge.call(ManagementFactory.getThreadMXBean().getThreadCount()))
                .register(registry);
        CounterWithCallback.builder()
                .name("process_cpu_seconds_total")
                .help("CPU time used by the process.")
                .unit(Unit.SECONDS)
                .callback(counter -> counter.call(cpuSeconds()))
                .register(registry);
    }

    private static void registerHeap(PrometheusRegistry registry, MemoryMXBean memory) {
        GaugeWithCallback.builder()
                .name("jvm_heap_used_bytes")
                .help("Bytes of heap in use.")
                .unit(Unit.BYTES)
                .callback(
                        gauge -> gauge.call((double) memory.getHeapMemoryUsage().getUsed()))
                .register(registry);
        GaugeWithCallback.builder()
                .name("jvm_heap_limit_bytes")
                .help("Largest heap in bytes.")
                .unit(Unit.BYTES)
                .callback(
                        gauge -> gauge.call((double) memory.getHeapMemoryUsage().getMax()))
                .register(registry);
    }

    private static double cpuSeconds() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof com.sun.management.OperatingSystemMXBean system
                ? system.getProcessCpuTime() / NANOS_PER_SECOND
                : 0;
    }
}
