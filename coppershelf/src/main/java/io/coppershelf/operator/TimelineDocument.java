package io.coppershelf.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The JSON form of the timeline of one process.
 *
 * @param vm the VM
 * @param stamp the stamp at which the document was created
 * @param overwritten the stamp of the latest event that was overwritten because the buffer was full, 0 if none was
 * @param events the events in the order of their stamps
 */
public record TimelineDocument(String vm, long stamp, long overwritten, List<StampedEvent> events) {
    private static final int HEX_RADIX = 16;

    public TimelineDocument {
        events = List.copyOf(events);
    }

    /** Writes the document; stamps are hexadecimal strings of 16 digits, since JSON readers round large numbers. */
    public ObjectNode toJson() {
        ObjectNode document = JsonNodeFactory.instance.objectNode();
        document.put("vm", vm).put("stamp", format(stamp)).put("overwritten", format(overwritten));
        ArrayNode list = document.putArray("events");
        events.forEach(event -> list.add(toJson(event)));
        return document;
    }

    /** Writes one event. */
    public static ObjectNode toJson(StampedEvent stamped) {
        Timeline.Event event = stamped.event();
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("stamp", format(stamped.stamp()))
                .put(
                        "time",
                        Instant.ofEpochMilli(HybridClock.millis(stamped.stamp()))
                                .toString())
                .put("vm", stamped.vm())
                .put("part", event.component())
                .put("text", event.text());
        event.service().ifPresent(name -> node.put("service", name));
        event.server().ifPresent(name -> node.put("server", name));
        event.request().ifPresent(id -> node.put("request", id));
        event.ticket().ifPresent(number -> node.put("ticket", number));
        return node;
    }

    /**
     * Reads a document.
     *
     * @throws IllegalArgumentException if it is not of this form
     */
    public static TimelineDocument fromJson(JsonNode document) {
        List<StampedEvent> events = new ArrayList<>();
        for (JsonNode node : document.required("events")) {
            events.add(readEvent(node));
        }
        return new TimelineDocument(
                document.required("vm").asText(),
                parse(document.required("stamp").asText()),
                parse(document.required("overwritten").asText()),
                events);
    }

    /** Writes a stamp. */
    public static String format(long stamp) {
        return String.format("%016x", stamp);
    }

    /**
     * Reads a stamp.
     *
     * @throws NumberFormatException if it is not a hexadecimal number of at most 16 digits
     */
    public static long parse(String stamp) {
        return Long.parseUnsignedLong(stamp, HEX_RADIX);
    }

    private static StampedEvent readEvent(JsonNode node) {
        Timeline.Event event = new Timeline.Event(
                node.required("part").asText(),
                node.required("text").asText(),
                text(node, "service"),
                text(node, "server"),
                text(node, "request"),
                Optional.ofNullable(node.get("ticket")).map(JsonNode::asLong));
        return new StampedEvent(
                parse(node.required("stamp").asText()), node.required("vm").asText(), event);
    }

    private static Optional<String> text(JsonNode node, String key) {
        return Optional.ofNullable(node.get(key)).map(JsonNode::asText);
    }
}
