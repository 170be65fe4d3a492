package io.coppershelf.bench.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.coppershelf.health.ServerCondition;
import io.coppershelf.operator.HybridClock;
import io.coppershelf.operator.StampedEvent;
import io.coppershelf.operator.TimelineDocument;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** The ejections of a run, read from the time line over all daemons. */
final class EjectionLog {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String INTO_EJECTION = " to " + ServerCondition.EJECTED;
    private static final String INTO_SUSPICION = " to " + ServerCondition.SUSPECTED;
    private static final String OUT_OF_EJECTION = ServerCondition.EJECTED + " to ";

    private final List<StampedEvent> changes;

    private EjectionLog(List<StampedEvent> changes) {
        this.changes = changes;
    }

    /** Reads the changes of condition from all daemons that answer, in the order of the time line. */
    static EjectionLog read(List<URI> operators) throws IOException, InterruptedException {
        HttpClient http = HttpClient.newHttpClient();
        List<StampedEvent> events = new ArrayList<>();
        for (URI operator : operators) {
            events.addAll(events(http, operator));
        }
        return new EjectionLog(events.stream()
                .filter(event -> event.event().component().equals("health"))
                .sorted()
                .toList());
    }

    private static List<StampedEvent> events(HttpClient http, URI operator) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(operator.resolve("/timeline?after=0")).build();
        try {
            String text =
                    http.send(request, HttpResponse.BodyHandlers.ofString()).body();
            return TimelineDocument.fromJson(JSON.readTree(text)).events();
        } catch (ConnectException e) {
            // The daemon was killed, and its events with it.
            return List.of();
        }
    }

    /**
     * Returns how long after the given wall clock the server was first taken out of the usual choice: suspected or
     * ejected.
     */
    Optional<Duration> suspectedAfter(String server, long sinceMillis) {
        return changes.stream()
                .filter(change -> server(change).equals(server))
                .filter(change -> isEjection(change) || change.event().text().contains(INTO_SUSPICION))
                .map(change -> HybridClock.millis(change.stamp()))
                .filter(millis -> millis >= sinceMillis)
                .findFirst()
                .map(millis -> Duration.ofMillis(millis - sinceMillis));
    }

    /** Returns how often a server other than the given ones was ejected. */
    long ejectionsExcept(Collection<String> servers) {
        return changes.stream()
                .filter(EjectionLog::isEjection)
                .filter(event -> !servers.contains(server(event)))
                .count();
    }

    /** Returns the most servers that each service had ejected at once, by any VM. */
    Map<String, Integer> mostEjected() {
        Map<String, Set<String>> ejected = new HashMap<>();
        Map<String, Integer> most = new HashMap<>();
        for (StampedEvent change : changes) {
            String service = change.event().service().orElse("");
            String holder = change.vm() + "/" + server(change);
            Set<String> now = ejected.computeIfAbsent(service, name -> new HashSet<>());
            if (isEjection(change)) {
                now.add(holder);
            } else if (change.event().text().startsWith(OUT_OF_EJECTION)) {
                now.remove(holder);
            }
            most.merge(service, distinctServers(now), Math::max);
        }
        return most;
    }

    private static int distinctServers(Set<String> holders) {
        return holders.stream()
                .map(holder -> holder.substring(holder.indexOf('/') + 1))
                .collect(Collectors.toSet())
                .size();
    }

    private static boolean isEjection(StampedEvent event) {
        return event.event().text().contains(INTO_EJECTION);
    }

    private static String server(StampedEvent event) {
        return event.event().server().orElse("");
    }
}
