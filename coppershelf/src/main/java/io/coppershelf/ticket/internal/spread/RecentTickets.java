package io.coppershelf.ticket.internal.spread;

import io.coppershelf.ticket.Ticket;
import io.coppershelf.ticket.TicketDocument;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The keys of recently seen tickets, and the documents of the latest ones for peers that pull them. */
final class RecentTickets {
    private static final int MAX_KEYS = 4096;
    private static final long MAX_KEPT_DOCUMENT_BYTES = 4 * 1024 * 1024;

    private final Set<TicketKey> keys = new LinkedHashSet<>();
    private final Map<TicketKey, byte[]> documents = new LinkedHashMap<>();
    private long documentBytes;

    /** Returns whether the ticket was seen. */
    boolean contains(TicketKey key) {
        return keys.contains(key);
    }

    /** Adds a ticket; returns false if it was seen before. */
    boolean add(TicketKey key, Ticket ticket) {
        if (!keys.add(key)) {
            return false;
        }
        if (keys.size() > MAX_KEYS) {
            keys.remove(keys.iterator().next());
        }
        byte[] document = TicketDocument.write(ticket).getBytes(StandardCharsets.UTF_8);
        documents.put(key, document);
        documentBytes += document.length;
        while (documentBytes > MAX_KEPT_DOCUMENT_BYTES) {
            TicketKey eldest = documents.keySet().iterator().next();
            documentBytes -= documents.remove(eldest).length;
        }
        return true;
    }

    /** Returns the JSON document of a ticket, if it is still kept. */
    Optional<byte[]> document(TicketKey key) {
        return Optional.ofNullable(documents.get(key));
    }
}
