package io.coppershelf.ticket.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.net.InetAddresses;
import io.coppershelf.document.Problems;
import java.util.HashMap;
import java.util.Map;

/** The checks of a ticket document that its schema can't express. */
public final class TicketChecks {
    private static final String SERVICES = "services";
    private static final String SERVERS = "servers";
    private static final String ROUTES = "routes";

    private final JsonNode document;
    private final Problems problems;

    private TicketChecks(JsonNode document, Problems problems) {
        this.document = document;
        this.problems = problems;
    }

    /** Adds what is invalid to the problems; values of a wrong type are left to the check by the schema. */
    public static void check(JsonNode document, Problems problems) {
        TicketChecks checks = new TicketChecks(document, problems);
        checks.checkNotEmpty();
        checks.checkServers();
        checks.checkRoutes();
    }

    private void checkNotEmpty() {
        boolean isEmpty = document.isObject()
                && document.path(SERVICES).isEmpty()
                && document.path(SERVERS).isEmpty()
                && document.path(ROUTES).isEmpty();
        if (isEmpty) {
            problems.add("", "must touch at least one service, server or route");
        }
    }

    private void checkServers() {
        Map<String, String> pathsByValue = new HashMap<>();
        document.path(SERVERS).properties().forEach(entry -> {
            JsonNode server = entry.getValue();
            String path = pointer(SERVERS, entry.getKey());
            checkService(server, path);
            checkHost(server.path("host"), path + "/host");
            if (server.path("host").isTextual() && server.path("port").isInt()) {
                String address = server.path("host").textValue() + ":" + server.path("port");
                checkUnique(pathsByValue, address, path, "address " + address);
            }
        });
    }

    private void checkRoutes() {
        Map<String, String> pathsByValue = new HashMap<>();
        document.path(ROUTES).properties().forEach(entry -> {
            JsonNode route = entry.getValue();
            String path = pointer(ROUTES, entry.getKey());
            checkService(route, path);
            checkPath(route.path("path"), path + "/path");
            if (route.path("method").isTextual() && route.path("path").isTextual()) {
                String match = route.path("method").textValue() + " "
                        + route.path("path").textValue();
                checkUnique(pathsByValue, match, path, "method and path " + match);
            }
        });
    }

    private void checkService(JsonNode object, String path) {
        JsonNode service = object.path("service");
        if (service.isTextual()
                && document.path(SERVICES).path(service.textValue()).isNull()) {
            problems.add(path + "/service", "must not be a service that the ticket removes, but is " + service);
        }
    }

    private void checkHost(JsonNode host, String path) {
        if (host.isTextual() && !InetAddresses.isInetAddress(host.textValue())) {
            problems.add(path, "must be an IP number, but is " + host);
        }
    }

    private void checkPath(JsonNode path, String pointer) {
        if (!path.isTextual()) {
            return;
        }
        if (!PathPatterns.isValid(path.textValue())) {
            problems.add(
                    pointer, "must begin with / and have plain segments, the last of which may be *, but is " + path);
        }
        if (PathPatterns.isReserved(path.textValue())) {
            problems.add(pointer, "must not lie under /coppershelf, but is " + path);
        }
    }

    private void checkUnique(Map<String, String> pathsByValue, String value, String path, String valueName) {
        String otherPath = pathsByValue.putIfAbsent(value, path);
        if (otherPath != null) {
            problems.add(path, "must not have the " + valueName + ", which " + otherPath + " has");
        }
    }

    private static String pointer(String section, String name) {
        return "/" + section + "/" + name.replace("~", "~0").replace("/", "~1");
    }
}
