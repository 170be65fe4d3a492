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

/** Parses the ticket documents of the platform and of peers; counts and logs those that are not valid. Thread-safe. */
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

    /** Returns the valid tickets of the platform. Invalid ones are reported and skipped. */
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

    /** Returns the ticket that a peer sent, empty if it is not valid or not the requested one. */
    Optional<Ticket> parseFromPeer(String peer, TicketKey key, byte[] document) {
        try {
            Ticket ticket = TicketDocument.parse(new String(document, StandardCharsets.UTF_8));
            checkNumber(key, ticket);
            if (TicketDigest.of(ticket) != key.digest()) {
                throw CoppershelfException.of(
                        ErrorKind.PEER_GARBLED, "the digest of its content differs from the announced one");
            }
            return Optional.of(ticket);
        } catch (CoppershelfException e) {
            recordPeerRefusal(peer, e);
            return Optional.empty();
        }
    }

    /** Counts an invalid document of a peer, and logs one at most once a minute. */
    void recordPeerRefusal(String peer, CoppershelfException cause) {
        refused.labelValues("peer").inc();
        logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).log(
                "[ticket] Refused a ticket of %s: %s", peer, cause.getMessage());
    }

    /**
     * Checks that a peer sent the ticket with the number that it was requested by.
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
