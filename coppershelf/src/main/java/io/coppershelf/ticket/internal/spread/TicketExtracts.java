package io.coppershelf.ticket.internal.spread;

import io.coppershelf.outcome.CoppershelfException;
import io.coppershelf.ticket.ObjectState;
import io.coppershelf.ticket.ObjectVersion;
import io.coppershelf.ticket.Ticket;
import io.coppershelf.ticket.TicketDocument;
import io.coppershelf.ticket.internal.spread.SpreadMessages.TicketExtract;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;

/** Converts object versions to documents for a peer, and back with the same checks as for a ticket. */
final class TicketExtracts {
    private static final int MAX_REPLY_BYTES = 2 * 1024 * 1024;

    private TicketExtracts() {}

    /** Returns the versions of the buckets; buckets beyond the size limit of a reply are left out. */
    static List<TicketExtract> of(List<Integer> buckets, IntFunction<List<ObjectVersion>> versions) {
        List<TicketExtract> extracts = new ArrayList<>();
        long bytes = 0;
        for (int bucket : buckets) {
            List<TicketExtract> ofBucket = extract(versions.apply(bucket));
            bytes += ofBucket.stream()
                    .mapToLong(extract -> extract.document().length)
                    .sum();
            if (bytes > MAX_REPLY_BYTES && !extracts.isEmpty()) {
                break;
            }
            extracts.addAll(ofBucket);
        }
        return extracts;
    }

    /**
     * Reads the versions of an extract.
     *
     * @throws CoppershelfException if the document is not a valid ticket of that number
     */
    static List<ObjectVersion> versions(TicketExtract extract) {
        Ticket ticket = TicketDocument.parse(new String(extract.document(), StandardCharsets.UTF_8));
        TicketKey key = extract.key();
        TicketValidator.checkNumber(key, ticket);
        return ticket.objects().stream()
                .map(state -> new ObjectVersion(key.number(), key.digest(), state))
                .toList();
    }

    private static List<TicketExtract> extract(List<ObjectVersion> versions) {
        Map<TicketKey, List<ObjectState>> byTicket = new LinkedHashMap<>();
        for (ObjectVersion version : versions) {
            TicketKey key = new TicketKey(version.ticket(), version.ticketDigest());
            byTicket.computeIfAbsent(key, absent -> new ArrayList<>()).add(version.state());
        }
        List<TicketExtract> extracts = new ArrayList<>();
        byTicket.forEach((key, states) -> {
            states.sort(Comparator.comparing(ObjectState::key));
            String document = TicketDocument.write(new Ticket(key.number(), states));
            extracts.add(new TicketExtract(key, document.getBytes(StandardCharsets.UTF_8)));
        });
        return extracts;
    }
}
