package io.coppershelf.ticket;

import com.google.common.hash.Hashing;
import io.coppershelf.ticket.internal.TicketBytes;

/** The digest of a ticket's content, equal for tickets with the same content. */
public final class TicketDigest {
    private TicketDigest() {}

    /** Returns the first eight bytes of the SHA-256 of the ticket's content. */
    public static long of(Ticket ticket) {
        return Hashing.sha256().hashBytes(TicketBytes.of(ticket)).asLong();
    }
}
