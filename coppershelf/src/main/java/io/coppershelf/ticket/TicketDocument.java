package io.coppershelf.ticket;

import com.fasterxml.jackson.databind.JsonNode;
import io.coppershelf.document.DocumentSchema;
import io.coppershelf.document.Problems;
import io.coppershelf.document.StrictJson;
import io.coppershelf.outcome.CoppershelfException;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.ticket.internal.TicketChecks;
import io.coppershelf.ticket.internal.TicketJson;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Reads and writes the JSON form of tickets.
 *
 * <pre>{@code
 * Ticket ticket = TicketDocument.parse("""
 *     {"ticket": 12, "services": {"rotavis": {"floor": 7, "detectionWeight": 0.8}}}""");
 * }</pre>
 */
public final class TicketDocument {
    /** The maximum size of a document, in bytes of UTF-8. */
    public static final int MAX_DOCUMENT_BYTES = 1_048_576;

    private static final DocumentSchema SCHEMA = DocumentSchema.load(TicketDocument.class, "ticket.schema.json");

    private TicketDocument() {}

    /**
     * Parses and checks a ticket.
     *
     * @throws CoppershelfException with {@link ErrorKind#INVALID_TICKET}, naming every problem with its path
     */
    public static Ticket parse(String text) {
        Problems problems = new Problems();
        checkSize(text, problems);
        Optional<JsonNode> document = problems.isEmpty() ? StrictJson.read(text, problems) : Optional.empty();
        document.ifPresent(node -> check(node, problems));
        problems.throwIfAny(ErrorKind.INVALID_TICKET, "ticket is not valid:");
        return TicketJson.read(document.orElseThrow());
    }

    /** Writes a ticket in its canonical form: no white space, keys and objects in a fixed order. */
    public static String write(Ticket ticket) {
        return TicketJson.write(ticket);
    }

    private static void checkSize(String text, Problems problems) {
        int size = text.getBytes(StandardCharsets.UTF_8).length;
        if (size > MAX_DOCUMENT_BYTES) {
            problems.add("", "must be at most " + MAX_DOCUMENT_BYTES + " bytes, but has " + size);
        }
    }

    private static void check(JsonNode document, Problems problems) {
        problems.addAll(SCHEMA.check(document));
        TicketChecks.check(document, problems);
    }
}
