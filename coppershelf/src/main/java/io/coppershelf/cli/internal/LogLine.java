package io.coppershelf.cli.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Instant;
import java.util.Optional;
import java.util.StringJoiner;

/** A line of the structured log of a gateway. */
public final class LogLine {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final JsonNode fields;

    private LogLine(JsonNode fields) {
        this.fields = fields;
    }

    /** Parses a line; empty if the text is not a line of the log. Text before the first brace is ignored. */
    public static Optional<LogLine> parse(String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode node = JSON.readTree(text.substring(start));
            boolean isLine = node.path("event").isTextual() && node.path("at").isIntegralNumber();
            return isLine ? Optional.of(new LogLine(node)) : Optional.empty();
        } catch (JsonProcessingException e) {
            // The file may also contain lines of other programs.
            return Optional.empty();
        }
    }

    /** Returns when it was written, in milliseconds since 1970 by the clock of its VM. */
    public long atMillis() {
        return fields.path("at").asLong();
    }

    /** Returns the name of the event. */
    public String event() {
        return fields.path("event").asText();
    }

    /** Returns a field as text, empty text if there is none. */
    public String field(String name) {
        return fields.path(name).asText("");
    }

    /** Returns the line as it was written. */
    public String json() {
        return fields.toString();
    }

    /** Returns the line in human-readable form. */
    public String text() {
        StringJoiner text = new StringJoiner(" ");
        text.add(Instant.ofEpochMilli(atMillis()).toString()).add(field("vm")).add(event());
        fields.properties().forEach(field -> {
            String name = field.getKey();
            if (!name.equals("at") && !name.equals("vm") && !name.equals("event")) {
                text.add(name + "=" + field.getValue().asText());
            }
        });
        return text.toString();
    }
}
