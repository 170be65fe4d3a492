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
 * Merges tickets into the configuration in force. Tickets may arrive in any order, repeatedly, and with gaps. Free of
 * I/O and clocks; not thread-safe, but its snapshots are immutable.
 *
 * <pre>{@code
 * ConfigurationStore store = new ConfigurationStore();
 * ApplyResult result = store.apply(TicketDocument.parse(text));
 * Configuration configuration = store.snapshot();
 * }</pre>
 */
public final class ConfigurationStore {
    /** The number of buckets among which objects are distributed for comparison between VMs. */
    public static final int BUCKETS = PackedMap.BUCKETS;

    private static final int MAX_TICKET_DIGESTS = 1024;
    private static final int MAX_CONFLICTS = 64;

    private final Map<Long, Long> digestsByNumber = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > MAX_TICKET_DIGESTS;
        }
    };
    private final SortedSet<Long> conflicts = new TreeSet<>();
    private PackedConfiguration configuration = PackedConfiguration.empty();

    /**
     * Applies a ticket: each of its objects gets the state that the ticket gives it, unless a ticket with a higher
     * number, or with the same number and a smaller digest, has already set it.
     */
    public ApplyResult apply(Ticket ticket) {
        long digest = TicketDigest.of(ticket);
        List<ObjectKey> changed = new ArrayList<>();
        boolean conflict = isConflict(ticket.number(), digest);
        for (ObjectState state : ticket.objects()) {
            conflict |= put(new ObjectVersion(ticket.number(), digest, state), changed);
        }
        recordConflict(ticket.number(), conflict);
        return new ApplyResult(changed, conflict);
    }

    /** Applies the version of a single object that another VM has in force. */
    public ApplyResult apply(ObjectVersion version) {
        List<ObjectKey> changed = new ArrayList<>();
        boolean conflict = isConflict(version.ticket(), version.ticketDigest());
        conflict |= put(version, changed);
        recordConflict(version.ticket(), conflict);
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

    /** Returns the digest of each bucket, equal on VMs that have the same versions of its objects. */
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
        boolean conflict = present.filter(current -> version.conflictsWith(current.ticket(), current.ticketDigest()))
                .isPresent();
        if (present.filter(current -> !version.supersedes(current.ticket(), current.ticketDigest()))
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

    private void recordConflict(long number, boolean conflict) {
        if (!conflict) {
            return;
        }
        conflicts.add(number);
        if (conflicts.size() > MAX_CONFLICTS) {
            conflicts.remove(conflicts.first());
        }
    }
}
