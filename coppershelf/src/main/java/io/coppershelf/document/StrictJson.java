package io.coppershelf.document;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Optional;

/** Reads JSON text strictly: duplicate keys within an object and text after the end of the document are errors. */
public final class StrictJson {
    private static final int MAX_NESTING_DEPTH = 32;

    private static final ObjectMapper MAPPER = JsonMapper.builder(JsonFactory.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxNestingDepth(MAX_NESTING_DEPTH)
                            .build())
                    .build())
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private StrictJson() {}

    /**
     * Reads a document.
     *
     * @param text the JSON text
     * @param problems collects the problems of the text
     * @return the document, empty if the text is not JSON
     */
    public static Optional<JsonNode> read(String text, Problems problems) {
        try {
            JsonNode node = MAPPER.readTree(text);
            if (node == null || node.isMissingNode()) {
                problems.add("", "must be a JSON object, but is empty");
                return Optional.empty();
            }
            return Optional.of(node);
        } catch (JsonProcessingException e) {
            problems.add("", "must be JSON, but " + describe(e));
            return Optional.empty();
        }
    }

    private static String describe(JsonProcessingException failure) {
        String reason = failure.getOriginalMessage().replaceAll("\\s+", " ").strip();
        if (failure.getLocation() == null) {
            return reason;
        }
        return "line " + failure.getLocation().getLineNr() + ", column "
                + failure.getLocation().getColumnNr() + ": " + reason;
    }
}
