package io.coppershelf.ticket.internal.spread;

import io.coppershelf.membership.FleetView;
import io.coppershelf.ticket.ObjectVersion;
import io.coppershelf.ticket.Ticket;
import java.util.List;
import java.util.Map;

/** What happens to the spread of tickets. */
sealed interface SpreadEvent {
    /** The fleet view changed. */
    record FleetChanged(FleetView view) implements SpreadEvent {}

    /** The platform answered a read; tickets that failed their check are left out. */
    record PlatformRead(long askedPosition, long position, List<Ticket> tickets) implements SpreadEvent {}

    /** The platform gave no answer to a read. */
    record PlatformReadFailed() implements SpreadEvent {}

    /** A peer announced a ticket. */
    record AnnouncementReceived(String sender, TicketKey key) implements SpreadEvent {}

    /** A peer answered an announcement. */
    record AnnouncementAcknowledged(String target, TicketKey key, boolean wasKnown) implements SpreadEvent {}

    /** A peer did not answer an announcement. */
    record AnnouncementFailed(String target, TicketKey key) implements SpreadEvent {}

    /** A peer gave a ticket that was pulled from it. */
    record Pulled(String sender, Ticket ticket) implements SpreadEvent {}

    /** A peer did not give the ticket. */
    record PullFailed(TicketKey key) implements SpreadEvent {}

    /** A peer asks to compare. */
    record RepairRequested(String sender, Summary summary) implements SpreadEvent {}

    /** A peer answered the request to compare. */
    record RepairReplied(String sender, Summary summary, List<Long> groupDigests) implements SpreadEvent {}

    /** A peer gave the digests of the buckets of some groups. */
    record BucketsReceived(String sender, Map<Integer, Long> bucketDigests) implements SpreadEvent {}

    /** A peer gave its versions of the objects of some buckets. */
    record VersionsReceived(String sender, List<ObjectVersion> versions) implements SpreadEvent {}

    /** A peer did not answer a question of repair. */
    record RepairFailed(String target) implements SpreadEvent {}

    /** Time passed; sent every {@link TicketSpread#TICK_MILLIS}. */
    record Tick() implements SpreadEvent {}

    /**
     * What a VM says of its configuration.
     *
     * @param digest the digest of its configuration
     * @param isReady whether it serves
     * @param platformAgeMillis how long ago any VM that it has heard of last had an answer of the platform
     */
    record Summary(long digest, boolean isReady, long platformAgeMillis) {}
}
