package io.coppershelf.bench.tickets;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.coppershelf.operator.HybridClock;
import io.coppershelf.operator.StampedEvent;
import io.coppershelf.operator.TimelineDocument;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;

/** Reads the times at which tickets came into force from the time lines of the daemons. */
final class InForceTimes {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient http = HttpClient.newHttpClient();
    private final List<URI> operators;

    InForceTimes(List<URI> operators) {
        this.operators = operators;
    }

    /**
     * Returns the times at which the ticket came into force, in milliseconds since 1970, one for each daemon on which
     * it did.
     */
    List<Long> of(long number) throws IOException, InterruptedException {
        List<Long> times = new ArrayList<>();
        for (URI operator : operators) {
            events(operator).stream()
                    .filter(event -> event.event().component().equals("ticket"))
                    .filter(event -> event.event()
                            .ticket()
                            .filter(ticket -> ticket == number)
                            .isPresent())
                    .mapToLong(event -> HybridClock.millis(event.stamp()))
                    .min()
                    .ifPresent(times::add);
        }
        return times;
    }

    private List<StampedEvent> events(URI operator) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(operator.resolve("/timeline?after=0")).build();
        String document =
                http.send(request, HttpResponse.BodyHandlers.ofString()).body();
        return TimelineDocument.fromJson(JSON.readTree(document)).events();
    }
}
