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

/** The ejections of a run, read from the time lines of all daemons. */
final class EjectionLog {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String TO_EJECTED = " to " + ServerCondition.EJECTED;
    private static final String TO_SUSPECTED = " to " + ServerCondition.SUSPECTED;
    private static final String FROM_EJECTED = ServerCondition.EJECTED + " to ";

    private final List<StampedEvent> changes;

    private EjectionLog(List<StampedEvent> changes) {
        this.changes = changes;
    }

    /** Reads the condition changes from the time lines of all daemons that answer, in time order. */
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
            // The daemon was killed, so its events are lost.
            return List.of();
        }
    }

    /**
     * Returns how long after the given wall-clock time the server was first suspected or ejected, and so no longer
     * selected for ordinary requests.
     */
    Optional<Duration> suspectedAfter(String server, long sinceMillis) {
        return changes.stream()
                .filter(change -> server(change).equals(server))
                .filter(change -> isEjection(change) || change.event().text().contains(TO_SUSPECTED))
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

    /** Returns, for each service, the largest number of its servers that were ejected at the same time, by any VM. */
    Map<String, Integer> maxEjectedByService() {
        Map<String, Set<String>> ejectedByService = new HashMap<>();
        Map<String, Integer> maxEjected = new HashMap<>();
        for (StampedEvent change : changes) {
            String service = change.event().service().orElse("");
            String ejection = change.vm() + "/" + server(change);
            Set<String> ejectedNow = ejectedByService.computeIfAbsent(service, name -> new HashSet<>());
            if (isEjection(change)) {
                ejectedNow.add(ejection);
            } else if (change.event().text().startsWith(FROM_EJECTED)) {
                ejectedNow.remove(ejection);
            }
            maxEjected.merge(service, distinctServers(ejectedNow), Math::max);
        }
        return maxEjected;
    }

    private static int distinctServers(Set<String> ejections) {
        return ejections.stream()
                .map(ejection -> ejection.substring(ejection.indexOf('/') + 1))
                .collect(Collectors.toSet())
                .size();
    }

    private static boolean isEjection(StampedEvent event) {
        return event.event().text().contains(TO_EJECTED);
    }

    private static String server(StampedEvent event) {
        return event.event().server().orElse("");
    }
}
