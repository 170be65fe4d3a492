package io.coppershelf.ticket.internal.spread;

import com.google.common.flogger.FluentLogger;
import io.coppershelf.operator.Timeline;
import io.coppershelf.outcome.CoppershelfException;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.ticket.Ticket;
import io.coppershelf.ticket.TicketDigest;
import io.coppershelf.ticket.TicketDocument;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Reads the documents that others give, and refuses loudly those that are not valid. Safe for use by several threads.
 */
final class TicketValidator {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Timeline timeline;
    private final Counter refused;

    TicketValidator(Timeline timeline, PrometheusRegistry metrics) {
        this.timeline = timeline;
        refused = Counter.builder()
                .name("coppershelf_tickets_refused_total")
                .help("Tickets that failed their check, by who gave them.")
                .labelNames("source")
                .register(metrics);
    }

    /** Returns the valid tickets of the platform; the others are told of and do not block them. */
    List<Ticket> parseFromPlatform(List<String> documents) {
        List<Ticket> tickets = new ArrayList<>();
        for (String document : documents) {
            try {
                tickets.add(TicketDocument.parse(document));
            } catch (CoppershelfException e) {
                refused.labelValues("platform").inc();
                logger.atSevere().log("[ticket] Refused a ticket of the platform: %s", e.getMessage());
                timeline.record(Timeline.Event.of("ticket", "A ticket of the platform was refused: " + e.getMessage()));
            }
        }
        return tickets;
    }

    /** Returns the ticket that a peer gave, empty if it is not valid or not the one asked for. */
    Optional<Ticket> parseFromPeer(String peer, TicketKey key, byte[] document) {
        try {
            Ticket ticket = TicketDocument.parse(new String(document, StandardCharsets.UTF_8));
            checkNumber(key, ticket);
            if (TicketDigest.of(ticket) != key.digest()) {
                throw CoppershelfException.of(ErrorKind.PEER_GARBLED, "its content has another digest");
            }
            return Optional.of(ticket);
        } catch (CoppershelfException e) {
            recordPeerRefusal(peer, e);
            return Optional.empty();
        }
    }

    /** Counts and tells of what a peer gave, once a minute at most. */
    void recordPeerRefusal(String peer, CoppershelfException cause) {
        refused.labelValues("peer").inc();
        logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).log(
                "[ticket] Refused a ticket of %s: %s", peer, cause.getMessage());
    }

    /**
     * Checks that a peer gave the ticket of the number that it named.
     *
     * @throws CoppershelfException if not
     */
    static void checkNumber(TicketKey key, Ticket ticket) {
        if (ticket.number() != key.number()) {
            throw CoppershelfException.of(
                    ErrorKind.PEER_GARBLED, "it has the number " + ticket.number() + "; expected " + key.number());
        }
    }
}
