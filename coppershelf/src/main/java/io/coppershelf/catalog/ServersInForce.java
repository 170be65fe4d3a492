package io.coppershelf.catalog;

import java.util.Collection;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The servers that this VM uses: the registered ones, without those that have departed, together with those whose
 * registration may have expired only because they could not renew it. Free of I/O and clocks; not thread-safe.
 */
public final class ServersInForce {
    /** Time after an outage in which removals may be due to registrations that expired during the outage. */
    static final long OUTAGE_AFTERMATH_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final RemovalGrace grace = new RemovalGrace();
    private final DepartedServers departed = new DepartedServers();
    private ServerList registered = ServerList.EMPTY;
    private long outageNanos;
    private boolean hadOutage;

    /** Returns the registered servers as the platform lists them. */
    public ServerList registered() {
        return registered;
    }

    /** Returns the keys of the servers that announced that they leave. */
    public Set<String> leaving() {
        return departed.leaving();
    }

    /** Records that no VM can read the platform at this time. */
    public void recordOutage(long nowNanos) {
        outageNanos = nowNanos;
        hadOutage = true;
    }

    /** Applies a change that follows the registered servers. A restore of the store counts as an outage. */
    public void apply(CatalogChange change, long nowNanos) {
        ServerList before = registered;
        ServerList after = change.applyTo(before);
        if (!before.revision().equals(CatalogRevision.NONE)
                && !before.revision().isSameEra(after.revision())) {
            recordOutage(nowNanos);
        }
        ServerList usedBefore = departed.applyTo(before, nowNanos);
        departed.update(before, change, after, nowNanos);
        boolean isAfterOutage = hadOutage && nowNanos - outageNanos < OUTAGE_AFTERMATH_NANOS;
        grace.update(usedBefore, after, isAfterOutage, nowNanos);
        registered = after;
    }

    /**
     * Records that a server announced that it leaves.
     *
     * @return whether that was unknown
     */
    public boolean recordLeaving(String serverKey, long nowNanos) {
        grace.discard(serverKey);
        return departed.recordLeaving(serverKey, nowNanos);
    }

    /** Records servers that are known to leave on another VM. */
    public void recordLeaving(Collection<String> serverKeys, long nowNanos) {
        serverKeys.forEach(key -> recordLeaving(key, nowNanos));
    }

    /** Ends the periods that are over; returns whether {@link #inForce} has changed by that. */
    public boolean expire(long nowNanos) {
        boolean isGraceOver = grace.expire(nowNanos);
        boolean isRestoreOver = departed.expire(nowNanos);
        return isGraceOver || isRestoreOver;
    }

    /** Returns the list of the servers that this VM uses. */
    public ServerList inForce(long nowNanos) {
        return grace.withRetained(departed.applyTo(registered, nowNanos));
    }
}
