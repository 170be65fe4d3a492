package io.coppershelf.ticket.internal.spread;

import io.coppershelf.membership.FleetView;
import io.coppershelf.ticket.ObjectVersion;
import io.coppershelf.ticket.Ticket;
import java.util.List;
import java.util.Map;

/** An event that {@link TicketSpread} handles. */
sealed interface SpreadEvent {
    /** The fleet view changed. */
    record FleetChanged(FleetView view) implements SpreadEvent {}

    /** The platform answered a read; tickets that failed their check are left out. */
    record PlatformRead(long requestedPosition, long position, List<Ticket> tickets) implements SpreadEvent {}

    /** A read of the platform failed. */
    record PlatformReadFailed() implements SpreadEvent {}

    /** A peer announced a ticket. */
    record AnnouncementReceived(String sender, TicketKey key) implements SpreadEvent {}

    /** A peer replied to an announcement. */
    record AnnouncementAcknowledged(String target, TicketKey key, boolean wasKnown) implements SpreadEvent {}

    /** A peer did not reply to an announcement. */
    record AnnouncementFailed(String target, TicketKey key) implements SpreadEvent {}

    /** A peer sent a ticket that was pulled from it. */
    record Pulled(String sender, Ticket ticket) implements SpreadEvent {}

    /** A peer did not send a valid ticket. */
    record PullFailed(TicketKey key) implements SpreadEvent {}

    /** A peer requested a comparison of configurations. */
    record RepairRequested(String sender, Summary summary) implements SpreadEvent {}

    /** A peer replied to the request for a comparison. */
    record RepairReplied(String sender, Summary summary, List<Long> groupDigests) implements SpreadEvent {}

    /** A peer sent the digests of the buckets of some groups. */
    record BucketsReceived(String sender, Map<Integer, Long> bucketDigests) implements SpreadEvent {}

    /** A peer sent its versions of the objects of some buckets. */
    record VersionsReceived(String sender, List<ObjectVersion> versions) implements SpreadEvent {}

    /** A peer did not reply to a repair request, or its reply was not valid. */
    record RepairFailed(String target) implements SpreadEvent {}

    /** The periodic tick, every {@link TicketSpread#TICK_MILLIS}. */
    record Tick() implements SpreadEvent {}

    /**
     * The state of a VM's configuration, as it reports it to peers.
     *
     * @param digest the digest of its configuration
     * @param isReady whether it serves
     * @param platformAgeMillis the age of the latest platform answer to any VM that it knows of
     */
    record Summary(long digest, boolean isReady, long platformAgeMillis) {}
}
