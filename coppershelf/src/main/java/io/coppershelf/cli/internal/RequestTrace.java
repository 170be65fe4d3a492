package io.coppershelf.cli.internal;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Selects the log lines that explain a request: its own, and those of its VM about its servers, the platform and the
 * configuration around that time.
 */
public final class RequestTrace {
    /** How long before and after a request other lines of its VM may explain it. */
    private static final long CONTEXT_MILLIS = 3000;

    private RequestTrace() {}

    /** Returns the lines in order of time; empty if none is about the request. */
    public static List<LogLine> of(String request, Collection<LogLine> lines) {
        List<LogLine> own = lines.stream()
                .filter(line -> line.field("request").equals(request))
                .toList();
        if (own.isEmpty()) {
            return List.of();
        }
        long firstMillis = own.stream().mapToLong(LogLine::atMillis).min().orElseThrow() - CONTEXT_MILLIS;
        long lastMillis = own.stream().mapToLong(LogLine::atMillis).max().orElseThrow() + CONTEXT_MILLIS;
        String vm = own.get(0).field("vm");
        Set<String> servers = new TreeSet<>();
        own.forEach(line -> servers.add(line.field("server")));
        return lines.stream()
                .filter(line -> line.atMillis() >= firstMillis && line.atMillis() <= lastMillis)
                .filter(line -> line.field("request").equals(request)
                        || (line.field("vm").equals(vm) && concerns(line, servers)))
                .sorted(Comparator.comparingLong(LogLine::atMillis))
                .toList();
    }

    private static boolean concerns(LogLine line, Set<String> servers) {
        return switch (line.event()) {
            case "server-suspected", "server-trusted" ->
                servers.contains(line.field("server").replaceAll("@.*", ""));
            case "servers-changed" ->
                servers.stream()
                        .anyMatch(server ->
                                !server.isEmpty() && line.field("changes").contains(server));
            case "platform-lost", "platform-regained", "stopping", "started", "configuration-in-force" -> true;
            default -> false;
        };
    }

    /** Returns one line that states how the request ended and why. */
    public static String cause(String request, List<LogLine> trace) {
        Optional<LogLine> end = trace.stream()
                .filter(line -> line.field("request").equals(request))
                .filter(line ->
                        line.event().equals("request-ended") || line.event().equals("request-refused"))
                .findFirst();
        if (end.isEmpty()) {
            return "cause: no line tells how the request ended; its VM was lost, or the line was dropped";
        }
        Optional<LogLine> attempt = trace.stream()
                .filter(line -> line.event().equals("attempt-ended"))
                .reduce((earlier, later) -> later);
        String last = attempt.map(line -> "; last attempt at " + line.field("server") + " ended " + line.field("end")
                        + " (" + line.field("detail") + ")")
                .orElse("");
        return "cause: " + end.get().field("outcome") + ", " + end.get().field("reason") + cap(end.get()) + last;
    }

    /** Returns the usage cap and the share of it by which a request was refused, empty for other ends. */
    private static String cap(LogLine end) {
        if (end.field("capPerSecond").isEmpty()) {
            return "";
        }
        String age = end.field("shareAgeMs");
        return " of tenant %s: cap %s/s, burst %s; tokens held %s; age of the share %s; retry after %s ms"
                .formatted(
                        end.field("tenant"),
                        end.field("capPerSecond"),
                        end.field("capBurst"),
                        end.field("tokens"),
                        age.isEmpty() ? "unknown, no grant or denial yet" : age + " ms",
                        end.field("retryAfterMs"));
    }
}
