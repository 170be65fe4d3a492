package io.coppershelf.ticket.internal;

import com.google.common.io.ByteArrayDataOutput;
import com.google.common.io.ByteStreams;
import io.coppershelf.ticket.Ticket;

/** The bytes of a ticket's content in a fixed order, for its digest. */
public final class TicketBytes {
    private TicketBytes() {}

    /** Returns the content of a ticket, the same for equal tickets whatever the order in their document. */
    public static byte[] of(Ticket ticket) {
        ByteArrayDataOutput out = ByteStreams.newDataOutput();
        out.writeLong(ticket.number());
        ticket.objects().stream()
                .sorted((a, b) -> a.key().compareTo(b.key()))
                .forEach(state -> ObjectCodec.writeState(state, out));
        return out.toByteArray();
    }
}
