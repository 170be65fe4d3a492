package io.coppershelf.dispatch;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The limits that servers name in their answers: the requests a second that a server accepts from all VMs together.
 * Limits that this VM or another one has received are the same. Thread-safe.
 */
public final class ServerLimits {
    /**
     * The lowest limit that is kept, in requests a second. A server that names less is still tried, since only its
     * answers show that its limit has ended.
     */
    static final double MIN_PER_SECOND = 0.1;
    /**
     * Relative difference up to which a limit counts as unchanged, so that not every answer is reported to the fleet.
     */
    private static final double TOLERANCE = 0.05;

    private final Map<Long, Limit> limitsByServer = new ConcurrentHashMap<>();

    /**
     * A limit.
     *
     * @param perSecond the requests a second that the server accepts from all VMs together, above 0
     * @param sinceNanos when this VM learned of it
     */
    record Limit(double perSecond, long sinceNanos) {}

    /** Returns the requests a second that a server accepts from all VMs together, empty if it names no limit. */
    public Optional<Double> perSecond(String serverKey) {
        return limit(FleetLoad.codeOf(serverKey)).map(Limit::perSecond);
    }

    /** Returns the limit of a server, empty if it names none. */
    Optional<Limit> limit(long serverCode) {
        return limitsByServer.isEmpty() ? Optional.empty() : Optional.ofNullable(limitsByServer.get(serverCode));
    }

    /**
     * Records what a server states.
     *
     * @param perSecond the requests a second that it accepts from all VMs together, empty if the server names none
     * @return whether other VMs need to know it
     */
    public boolean record(long serverCode, Optional<Double> perSecond, long nowNanos) {
        if (perSecond.isEmpty()) {
            return limitsByServer.remove(serverCode) != null;
        }
        double limit = Math.max(MIN_PER_SECOND, perSecond.get());
        Limit before = limitsByServer.get(serverCode);
        if (before != null && Math.abs(limit - before.perSecond) <= TOLERANCE * before.perSecond) {
            return false;
        }
        limitsByServer.put(serverCode, new Limit(limit, nowNanos));
        return true;
    }

    /** Removes the limits of all servers but the given ones. */
    public void retain(Set<Long> serverCodes) {
        limitsByServer.keySet().retainAll(serverCodes);
    }
}
