package io.coppershelf.bench.overhead;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

/**
 * The processor time and heap usage of a daemon, read from its metrics.
 *
 * @param cpuSeconds the processor time since the start of the daemon
 * @param heapBytes the heap in use
 */
record ResourceUsage(double cpuSeconds, double heapBytes) {
    private static final HttpClient HTTP = HttpClient.newHttpClient();

    static ResourceUsage read(URI operator) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(operator.resolve("/metrics")).build();
        String text = HTTP.send(request, HttpResponse.BodyHandlers.ofString()).body();
        return new ResourceUsage(value(text, "process_cpu_seconds_total"), value(text, "jvm_heap_used_bytes"));
    }

    private static double value(String text, String metric) {
        return text.lines()
                .filter(line -> line.startsWith(metric))
                .map(line -> line.substring(line.lastIndexOf(' ') + 1))
                .mapToDouble(Double::parseDouble)
                .findFirst()
                .orElse(Double.NaN);
    }
}
