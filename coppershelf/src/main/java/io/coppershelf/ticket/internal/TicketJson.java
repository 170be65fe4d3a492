package io.coppershelf.ticket.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coppershelf.ticket.ObjectKey;
import io.coppershelf.ticket.ObjectSpec;
import io.coppershelf.ticket.ObjectState;
import io.coppershelf.ticket.ObjectType;
import io.coppershelf.ticket.RouteSpec;
import io.coppershelf.ticket.ServerSpec;
import io.coppershelf.ticket.ServiceSpec;
import io.coppershelf.ticket.Ticket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Converts checked JSON to tickets, and tickets to JSON. */
public final class TicketJson {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private TicketJson() {}

    /** Reads a document that has passed the checks. */
    public static Ticket read(JsonNode document) {
        List<ObjectState> objects = new ArrayList<>();
        for (ObjectType type : ObjectType.values()) {
            document.path(section(type)).properties().forEach(entry -> {
                ObjectKey key = new ObjectKey(type, entry.getKey());
                objects.add(new ObjectState(key, spec(key, entry.getValue())));
            });
        }
        objects.sort(Comparator.comparing(ObjectState::key));
        return new Ticket(document.path("ticket").longValue(), objects);
    }

    /** Writes a ticket, its objects in the order of their keys. */
    public static String write(Ticket ticket) {
        ObjectNode document = NODES.objectNode().put("ticket", ticket.number());
        ticket.objects().stream().sorted(Comparator.comparing(ObjectState::key)).forEach(state -> {
            ObjectNode section = document.withObjectProperty(section(state.key().type()));
            section.set(
                    state.key().name(),
                    state.spec().<JsonNode>map(TicketJson::node).orElse(NODES.nullNode()));
        });
        return document.toString();
    }

    private static String section(ObjectType type) {
        return type.name().toLowerCase(Locale.ROOT) + "s";
    }

    private static Optional<ObjectSpec> spec(ObjectKey key, JsonNode node) {
        if (node.isNull()) {
            return Optional.empty();
        }
        return Optional.of(
                switch (key.type()) {
                    case SERVICE -> service(key.name(), node);
                    case SERVER -> server(key.name(), node);
                    case ROUTE -> route(key.name(), node);
                });
    }

    private static ServiceSpec service(String name, JsonNode node) {
        return new ServiceSpec(
                name,
                node.path("floor").intValue(),
                node.path("detectionWeight").doubleValue());
    }

    private static ServerSpec server(String name, JsonNode node) {
        return new ServerSpec(
                name,
                node.path("service").textValue(),
                node.path("dataCentre").textValue(),
                node.path("host").textValue(),
                node.path("port").intValue(),
                node.path("slots").intValue(),
                node.path("connections").intValue(),
                node.path("draining").booleanValue());
    }

    private static RouteSpec route(String name, JsonNode node) {
        return new RouteSpec(
                name,
                node.path("service").textValue(),
                node.path("method").textValue(),
                node.path("path").textValue(),
                node.path("idempotent").booleanValue(),
                Duration.ofMillis(node.path("deadlineMillis").longValue()),
                node.path("weight").intValue(),
                node.path("largestBody").intValue(),
                node.path("largestAnswer").intValue());
    }

    private static ObjectNode node(ObjectSpec spec) {
        if (spec instanceof ServiceSpec service) {
            return NODES.objectNode().put("floor", service.floor()).put("detectionWeight", service.detectionWeight());
        }
        return spec instanceof ServerSpec server ? serverNode(server) : routeNode((RouteSpec) spec);
    }

    private static ObjectNode serverNode(ServerSpec server) {
        return NODES.objectNode()
                .put("service", server.service())
                .put("dataCentre", server.dataCentre())
                .put("host", server.host())
                .put("port", server.port())
                .put("slots", server.slots())
                .put("connections", server.connections())
                .put("draining", server.draining());
    }

    private static ObjectNode routeNode(RouteSpec route) {
        return NODES.objectNode()
                .put("service", route.service())
                .put("method", route.method())
                .put("path", route.path())
                .put("idempotent", route.idempotent())
                .put("deadlineMillis", route.deadline().toMillis())
                .put("weight", route.weight())
                .put("largestBody", route.largestBody())
                .put("largestAnswer", route.largestAnswer());
    }
}
