package io.coppershelf.catalog;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Remembers the incarnations of servers that announced that they leave, and those whose registration was removed. The
 * list of the platform can't bring back the former; it brings back the latter unless the list stems from an older copy
 * of the store, which still contains registrations that were removed since. Free of I/O and clocks; not thread-safe.
 */
public final class DepartedServers {
    /**
     * Time after a restore of the store for which a removed registration stays removed. A registration of a server that
     * no longer renews it has expired by then.
     */
    static final long RESTORED_COPY_NANOS = TimeUnit.SECONDS.toNanos(8);
    /** Time for which an announcement to leave is remembered; every leaving server has ended by then. */
    static final long LEAVING_NANOS = TimeUnit.MINUTES.toNanos(10);
    /** Time for which a removed registration is remembered; a restored copy is only some seconds old. */
    static final long REMOVED_NANOS = TimeUnit.MINUTES.toNanos(1);

    private final Map<String, Long> leavingUntilNanos = new HashMap<>();
    private final Map<String, Long> removedUntilNanos = new HashMap<>();
    private Optional<Long> restoredAtNanos = Optional.empty();

    /**
     * Records that an incarnation announced that it leaves.
     *
     * @return whether that was unknown
     */
    public boolean recordLeaving(String serverKey, long nowNanos) {
        return leavingUntilNanos.put(serverKey, nowNanos + LEAVING_NANOS) == null;
    }

    /**
     * Records what a change of the registered servers means for the departed ones.
     *
     * @param before the registered servers before the change
     * @param after the registered servers after it
     */
    public void update(ServerList before, CatalogChange change, ServerList after, long nowNanos) {
        if (!before.revision().equals(CatalogRevision.NONE)
                && !before.revision().isSameEra(after.revision())) {
            restoredAtNanos = Optional.of(nowNanos);
        } else {
            recordRemoved(before, after, nowNanos);
        }
        change.changed().stream()
                .filter(server -> !server.isAccepting())
                .forEach(server -> recordLeaving(server.key(), nowNanos));
        // A registration that is written after the restore is not from the older copy.
        if (!change.isComplete() || !isRestoredCopy(nowNanos)) {
            change.changed().forEach(server -> removedUntilNanos.remove(server.key()));
        }
    }

    private void recordRemoved(ServerList before, ServerList after, long nowNanos) {
        for (BackendServer server : before.all()) {
            Optional<BackendServer> known = after.server(server.id());
            if (known.isEmpty() || !known.get().isSameIncarnation(server)) {
                removedUntilNanos.put(server.key(), nowNanos + REMOVED_NANOS);
            }
        }
    }

    /** Returns the list in which departed servers accept no requests. */
    public ServerList applyTo(ServerList list, long nowNanos) {
        if (leavingUntilNanos.isEmpty() && removedUntilNanos.isEmpty()) {
            return list;
        }
        List<BackendServer> servers = new ArrayList<>();
        for (BackendServer server : list.all()) {
            servers.add(isDeparted(server.key(), nowNanos) ? server.withoutAccepting() : server);
        }
        return ServerList.of(list.revision(), servers);
    }

    /** Returns the keys of the incarnations that announced that they leave. */
    public Set<String> leaving() {
        return Set.copyOf(leavingUntilNanos.keySet());
    }

    /**
     * Forgets what is no longer needed.
     *
     * @return whether a list has to be made anew, since the time after a restore has ended
     */
    public boolean expire(long nowNanos) {
        leavingUntilNanos.values().removeIf(until -> nowNanos - until >= 0);
        removedUntilNanos.values().removeIf(until -> nowNanos - until >= 0);
        boolean hasEnded = restoredAtNanos.isPresent() && !isRestoredCopy(nowNanos);
        if (hasEnded) {
            restoredAtNanos = Optional.empty();
        }
        return hasEnded;
    }

    private boolean isDeparted(String serverKey, long nowNanos) {
        return leavingUntilNanos.containsKey(serverKey)
                || (isRestoredCopy(nowNanos) && removedUntilNanos.containsKey(serverKey));
    }

    private boolean isRestoredCopy(long nowNanos) {
        return restoredAtNanos
                .filter(restored -> nowNanos - restored < RESTORED_COPY_NANOS)
                .isPresent();
    }
}
