package io.coppershelf.ticket.internal.spread;

import io.coppershelf.membership.Vm;
import java.time.Duration;
import java.util.List;
import java.util.SortedSet;

/** An action of {@link TicketSpread}, to be executed by its driver. */
sealed interface SpreadAction {
    /** Read the platform's tickets above the position, and wait for one for at most the watch time. */
    record ReadPlatform(long position, Duration watchTime) implements SpreadAction {}

    /** Announce to the VM that this one has the ticket. */
    record Announce(Vm target, TicketKey key) implements SpreadAction {}

    /** Pull the ticket from the VM. */
    record Pull(Vm target, TicketKey key) implements SpreadAction {}

    /** Request a comparison of configurations from the VM. */
    record RequestRepair(Vm target) implements SpreadAction {}

    /** Request the digests of the buckets in some groups from the VM. */
    record RequestBuckets(Vm target, List<Integer> groups) implements SpreadAction {}

    /** Request the versions of the objects in some buckets from the VM. */
    record RequestVersions(Vm target, List<Integer> buckets) implements SpreadAction {}

    /** Publish the configuration, which has changed; the numbers are those of the tickets that came into force. */
    record Publish(SortedSet<Long> numbers) implements SpreadAction {}

    /** Alert the operators that two contents exist under one number. */
    record AlarmConflict(long number) implements SpreadAction {}

    /** Report that this VM may serve, and the reason. */
    record Ready(String reason) implements SpreadAction {}
}
