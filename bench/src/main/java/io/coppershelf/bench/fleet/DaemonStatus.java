package io.coppershelf.bench.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Reads the {@code /status} pages of daemons. */
public final class DaemonStatus {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final HttpClient http = HttpClient.newHttpClient();
    private final List<URI> operators;

    /** Returns a reader of the daemons with the given operator addresses. */
    public DaemonStatus(List<URI> operators) {
        this.operators = List.copyOf(operators);
    }

    /** Returns the number of the ticket in force on a daemon, 0 if the daemon does not answer. */
    public long ticketInForce(URI operator) throws InterruptedException {
        try {
            return read(operator).path("ticket").path("number").asLong(0);
        } catch (IOException e) {
            return 0;
        }
    }

    /**
     * Waits until the ticket is in force on all daemons.
     *
     * @param number the number of the ticket
     * @param sinceNanos the {@link System#nanoTime()} at which it was published
     * @param timeout how long to wait after the publication
     * @return the time from publication until the ticket was in force, for each daemon
     * @throws IOException if it takes longer than the timeout
     */
    public Map<URI, Duration> awaitTicket(long number, long sinceNanos, Duration timeout)
            throws IOException, InterruptedException {
        Map<URI, Duration> times = new LinkedHashMap<>();
        while (times.size() < operators.size()) {
            for (URI operator : operators) {
                if (!times.containsKey(operator) && ticketInForce(operator) >= number) {
                    times.put(operator, Duration.ofNanos(System.nanoTime() - sinceNanos));
                }
            }
            if (System.nanoTime() - sinceNanos > timeout.toNanos()) {
                throw new IOException("expected ticket " + number + " in force on " + operators.size()
                        + " daemons within " + timeout + " but only on " + times.size());
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
        return times;
    }

    private JsonNode read(URI operator) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(operator.resolve("/status"))
                .timeout(REQUEST_TIMEOUT)
                .build();
        return JSON.readTree(
                http.send(request, HttpResponse.BodyHandlers.ofString()).body());
    }
}
