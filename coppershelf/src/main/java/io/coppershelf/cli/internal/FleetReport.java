package io.coppershelf.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The status of a fleet, combined from one daemon and the owners of the server groups that it names.
 *
 * @param status the status document of the daemon that was queried
 * @param services the services
 * @param unreachable the owners that did not answer
 */
public record FleetReport(JsonNode status, List<ServiceReport> services, List<DaemonAddress> unreachable) {
    /**
     * Collects the status; empty if the daemon does not answer.
     *
     * @param service the service to show, empty text for all
     */
    public static Optional<FleetReport> collect(DaemonAddress daemon, String service, OperatorClient client) {
        String path = service.isEmpty() ? "/status" : "/status?service=" + service;
        return client.fetch(daemon, path).map(status -> collect(status, path, client));
    }

    private static FleetReport collect(JsonNode status, String path, OperatorClient client) {
        Map<DaemonAddress, Optional<JsonNode>> answers = client.fetchAll(owners(status), path);
        Map<String, JsonNode> servers = new HashMap<>();
        answers.values().forEach(answer -> answer.ifPresent(owner -> collectServers(owner, servers)));
        List<ServiceReport> services = new ArrayList<>();
        status.path("services").forEach(service -> services.add(service(service, servers)));
        List<DaemonAddress> unreachable = answers.entrySet().stream()
                .filter(entry -> entry.getValue().isEmpty())
                .map(Map.Entry::getKey)
                .toList();
        return new FleetReport(status, services, unreachable);
    }

    private static Set<DaemonAddress> owners(JsonNode status) {
        Set<String> addresses = new TreeSet<>();
        for (JsonNode service : status.path("services")) {
            service.path("owners")
                    .forEach(owner -> addresses.add(owner.path("at").asText()));
        }
        Set<DaemonAddress> owners = new java.util.LinkedHashSet<>();
        addresses.forEach(address -> owners.add(DaemonAddress.parse(address)));
        return owners;
    }

    private static void collectServers(JsonNode owner, Map<String, JsonNode> servers) {
        for (JsonNode group : owner.path("groups")) {
            group.path("servers")
                    .forEach(server -> servers.put(server.path("server").asText(), server));
        }
    }

    private static ServiceReport service(JsonNode node, Map<String, JsonNode> servers) {
        List<ServerReport> reports = new ArrayList<>();
        node.path("servers").forEach(server -> reports.add(server(server, servers)));
        return new ServiceReport(
                node.path("service").asText(),
                node.path("floor").asInt(),
                node.path("detectionWeight").asDouble(),
                node.path("ticket").asLong(),
                reports);
    }

    private static ServerReport server(JsonNode configured, Map<String, JsonNode> servers) {
        String name = configured.path("server").asText();
        String dataCentre = configured.path("dataCentre").asText();
        Optional<JsonNode> reported = Optional.ofNullable(servers.get(name));
        if (reported.isEmpty()) {
            return new ServerReport(name, dataCentre, ServerReport.UNKNOWN, "its owner does not tell of it", 0, 0);
        }
        JsonNode server = reported.get();
        return new ServerReport(
                name,
                dataCentre,
                server.path("condition").asText().toLowerCase(Locale.ROOT).replace('_', '-'),
                server.path("reason").asText(),
                server.path("inFlight").asInt(),
                server.path("slots").asInt());
    }
}
