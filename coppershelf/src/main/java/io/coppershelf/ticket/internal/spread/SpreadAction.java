package io.coppershelf.ticket.internal.spread;

import io.coppershelf.membership.Vm;
import java.time.Duration;
import java.util.List;
import java.util.SortedSet;

/** What the spread of tickets wants done. */
sealed interface SpreadAction {
    /** Read the platform's tickets above the position, waiting for one as long as given. */
    record ReadPlatform(long position, Duration watchTime) implements SpreadAction {}

    /** Tell the VM that this one has the ticket. */
    record Announce(Vm target, TicketKey key) implements SpreadAction {}

    /** Fetch the ticket from the VM. */
    record Pull(Vm target, TicketKey key) implements SpreadAction {}

    /** Ask the VM to compare configurations. */
    record RequestRepair(Vm target) implements SpreadAction {}

    /** Ask the VM for the digests of the buckets in some groups. */
    record RequestBuckets(Vm target, List<Integer> groups) implements SpreadAction {}

    /** Ask the VM for its versions of the objects in some buckets. */
    record RequestVersions(Vm target, List<Integer> buckets) implements SpreadAction {}

    /** Publish the configuration, which has changed; the numbers are those of the tickets that came into force. */
    record Publish(SortedSet<Long> numbers) implements SpreadAction {}

    /** Alarm the operators: two contents exist under one number. */
    record AlarmConflict(long number) implements SpreadAction {}

    /** This VM has asked the peers and the platform and may serve. */
    record Ready(String reason) implements SpreadAction {}
}
