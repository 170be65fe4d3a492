package io.coppershelf.ticket;

import io.coppershelf.ticket.internal.PackedConfiguration;
import io.coppershelf.ticket.internal.PackedMap;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The configuration that the tickets seen so far add up to. Tickets may come in any order, again, and with gaps. A pure
 * state machine: not safe for use by several threads, but its snapshots are immutable.
 *
 * <pre>{@code
 * ConfigurationStore store = new ConfigurationStore();
 * ApplyResult result = store.apply(TicketDocument.parse(text));
 * Configuration configuration = store.snapshot();
 * }</pre>
 */
public final class ConfigurationStore {
    /** The number of buckets over which objects are spread for comparison between VMs. */
    public static final int BUCKETS = PackedMap.BUCKETS;

    private static final int REMEMBERED_TICKETS = 1024;
    private static final int REMEMBERED_CONFLICTS = 64;

    private final Map<Long, Long> digestsByNumber = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > REMEMBERED_TICKETS;
        }
    };
    private final SortedSet<Long> conflicts = new TreeSet<>();
    private PackedConfiguration configuration = PackedConfiguration.empty();

    /**
     * Applies a ticket: each of its objects takes the state that the ticket gives it, unless a ticket of a higher
     * number, or of the same number with a smaller digest, has set it.
     */
    public ApplyResult apply(Ticket ticket) {
        long digest = TicketDigest.of(ticket);
        List<ObjectKey> changed = new ArrayList<>();
        boolean conflict = isConflict(ticket.number(), digest);
        for (ObjectState state : ticket.objects()) {
            conflict |= put(new ObjectVersion(ticket.number(), digest, state), changed);
        }
        remember(ticket.number(), conflict);
        return new ApplyResult(changed, conflict);
    }

    /** Applies the version of a single object as another VM holds it. */
    public ApplyResult apply(ObjectVersion version) {
        List<ObjectKey> changed = new ArrayList<>();
        boolean conflict = isConflict(version.ticket(), version.ticketDigest());
        conflict |= put(version, changed);
        remember(version.ticket(), conflict);
        return new ApplyResult(changed, conflict);
    }

    /** Returns the configuration in force. */
    public Configuration snapshot() {
        return configuration;
    }

    /** Returns the ticket numbers under which two contents were seen, the latest 64 of them. */
    public SortedSet<Long> conflicts() {
        return new TreeSet<>(conflicts);
    }

    /** Returns the digest of each bucket, equal on VMs that hold the same versions of its objects. */
    public long[] bucketDigests() {
        return configuration.bucketDigests();
    }

    /** Returns the versions in force of one bucket, removed objects included. */
    public List<ObjectVersion> versions(int bucket) {
        return configuration.versions(bucket);
    }

    /** Returns the version in force of one object, also if it is removed. */
    public Optional<ObjectVersion> version(ObjectKey key) {
        return configuration.version(key);
    }

    private boolean put(ObjectVersion version, List<ObjectKey> changed) {
        ObjectKey key = version.state().key();
        Optional<ObjectVersion> present = configuration.version(key);
        boolean conflict = present.filter(held -> version.conflictsWith(held.ticket(), held.ticketDigest()))
                .isPresent();
        if (present.filter(held -> !version.supersedes(held.ticket(), held.ticketDigest()))
                .isEmpty()) {
            configuration = configuration.with(version);
            changed.add(key);
        }
        return conflict;
    }

    private boolean isConflict(long number, long digest) {
        Long seen = digestsByNumber.putIfAbsent(number, digest);
        return seen != null && seen != digest;
    }

    private void remember(long number, boolean conflict) {
        if (!conflict) {
            return;
        }
        conflicts.add(number);
        if (conflicts.size() > REMEMBERED_CONFLICTS) {
            conflicts.remove(conflicts.first());
        }
    }
}
