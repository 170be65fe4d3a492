package io.coppershelf.cli.internal;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** Picks the lines that explain a request: its own, and what was believed of its servers around it. */
public final class RequestTrace {
    /** How long before and after a request a changed belief about its servers may explain it. */
    private static final long SURROUNDING_MILLIS = 3000;

    private RequestTrace() {}

    /** Returns the lines in order of time; empty if none is about the request. */
    public static List<LogLine> of(String request, Collection<LogLine> lines) {
        List<LogLine> own = lines.stream()
                .filter(line -> line.field("request").equals(request))
                .toList();
        if (own.isEmpty()) {
            return List.of();
        }
        long first = own.stream().mapToLong(LogLine::atMillis).min().orElseThrow() - SURROUNDING_MILLIS;
        long last = own.stream().mapToLong(LogLine::atMillis).max().orElseThrow() + SURROUNDING_MILLIS;
        String vm = own.get(0).field("vm");
        Set<String> servers = new TreeSet<>();
        own.forEach(line -> servers.add(line.field("server")));
        return lines.stream()
                .filter(line -> line.atMillis() >= first && line.atMillis() <= last)
                .filter(line -> line.field("request").equals(request)
                        || (line.field("vm").equals(vm) && isAbout(line, servers)))
                .sorted(Comparator.comparingLong(LogLine::atMillis))
                .toList();
    }

    private static boolean isAbout(LogLine line, Set<String> servers) {
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

    /** Returns one sentence on the cause. */
    public static String cause(String request, List<LogLine> story) {
        Optional<LogLine> end = story.stream()
                .filter(line -> line.field("request").equals(request))
                .filter(line ->
                        line.event().equals("request-ended") || line.event().equals("request-refused"))
                .findFirst();
        if (end.isEmpty()) {
            return "cause: no line tells how the request ended; its VM was lost, or the line was dropped";
        }
        Optional<LogLine> attempt = story.stream()
                .filter(line -> line.event().equals("attempt-ended"))
                .reduce((earlier, later) -> later);
        String last = attempt.map(line -> "; last attempt at " + line.field("server") + " ended " + line.field("end")
                        + " (" + line.field("detail") + ")")
                .orElse("");
        return "cause: " + end.get().field("outcome") + ", " + end.get().field("reason") + last;
    }
}
