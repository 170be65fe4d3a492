package io.coppershelf.document;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion.VersionFlag;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Locale;

/** A JSON schema that documents are checked against. Thread-safe. */
public final class DocumentSchema {
    private static final String MESSAGE_KEYWORD = "expected";

    private final JsonSchema schema;

    private DocumentSchema(JsonSchema schema) {
        this.schema = schema;
    }

    /**
     * Loads a schema from the resources next to a class.
     *
     * @param owner the class
     * @param name the name of the resource
     */
    public static DocumentSchema load(Class<?> owner, String name) {
        SchemaValidatorsConfig config = SchemaValidatorsConfig.builder()
                .locale(Locale.ENGLISH)
                .pathType(PathType.JSON_POINTER)
                .errorMessageKeyword(MESSAGE_KEYWORD)
                .build();
        try (InputStream text = owner.getResourceAsStream(name)) {
            if (text == null) {
                throw new IllegalStateException("no schema \"" + name + "\" in the resources of " + owner.getName());
            }
            JsonSchemaFactory factory = JsonSchemaFactory.getInstance(VersionFlag.V202012);
            return new DocumentSchema(factory.getSchema(text, config));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns all violations of the schema, in the order of the document. */
    public List<Problem> check(JsonNode document) {
        return schema.validate(document).stream().map(DocumentSchema::problem).toList();
    }

    private static Problem problem(ValidationMessage message) {
        String path = message.getInstanceLocation().toString();
        String text =
                switch (message.getType()) {
                    case "required" -> "key \"" + message.getProperty() + "\" is missing";
                    case "additionalProperties" -> "key \"" + message.getProperty() + "\" is unknown";
                    case "type" -> "must be " + message.getArguments()[1] + ", but is " + message.getArguments()[0];
                    case "minimum" -> "must be at least " + message.getArguments()[0] + actualValue(message);
                    case "maximum" -> "must be at most " + message.getArguments()[0] + actualValue(message);
                    case "enum" -> "must be one of " + message.getArguments()[0] + actualValue(message);
                    case "pattern", "propertyNames" -> message.getError() + actualValue(message);
                    default -> message.getError() + actualValue(message);
                };
        return new Problem(path, text);
    }

    private static String actualValue(ValidationMessage message) {
        JsonNode node = message.getInstanceNode();
        return node != null && node.isValueNode() ? ", but is " + node : "";
    }
}
