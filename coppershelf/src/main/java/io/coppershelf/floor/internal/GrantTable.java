package io.coppershelf.floor.internal;

import io.coppershelf.floor.internal.FloorMessage.GrantRelease;
import io.coppershelf.floor.internal.FloorMessage.GrantRequest;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The grants that a granter has issued for one service, and the servers that it knows to be out of service for another
 * reason. A grant counts from receipt of the request and expires later here than at its holder.
 */
public final class GrantTable {
    private final Map<Grant, Entry> grants = new HashMap<>();
    private final Map<String, Report> reports = new HashMap<>();

    /** Records a report of servers that are out of service; it replaces the last one of the same sender. */
    public void recordReport(String sender, List<String> servers, long nowNanos) {
        if (servers.isEmpty()) {
            reports.remove(sender);
            return;
        }
        reports.put(sender, new Report(Set.copyOf(servers), nowNanos + FloorTiming.REPORT_DURATION.toNanos()));
    }

    /**
     * Adds or renews a grant for one grant duration from now, unless more servers than allowed would be out of service.
     *
     * @param draining the servers that are draining by the configuration
     * @param allowance the number of servers that may be out of service
     * @return whether the server was granted
     */
    public boolean tryGrant(String holder, GrantRequest request, Set<String> draining, int allowance, long nowNanos) {
        Set<String> out = outOfService(draining, nowNanos);
        out.add(request.server());
        if (out.size() > allowance) {
            return false;
        }
        long untilNanos = nowNanos + FloorTiming.issuerNanos(FloorTiming.GRANT_DURATION);
        grants.merge(
                new Grant(request.server(), holder),
                new Entry(request.sequence(), untilNanos),
                (old, renewed) -> new Entry(Math.max(old.sequence(), renewed.sequence()), renewed.untilNanos()));
        return true;
    }

    /** Removes a grant that its holder released, unless the holder has requested it again since. */
    public void release(String holder, GrantRelease release) {
        grants.computeIfPresent(
                new Grant(release.server(), holder),
                (grant, entry) -> entry.sequence() <= release.sequence() ? null : entry);
    }

    /** Returns the servers that are or may be out of service, by grants, reports and the configuration. */
    public Set<String> outOfService(Set<String> draining, long nowNanos) {
        prune(nowNanos);
        Set<String> out = new HashSet<>(draining);
        grants.keySet().forEach(grant -> out.add(grant.server()));
        reports.values().forEach(report -> out.addAll(report.servers()));
        return out;
    }

    /** Returns the grants to revoke so that the rest is within the allowance, in the order of their servers. */
    public List<Grant> excess(Set<String> draining, int allowance, long nowNanos) {
        int excess = outOfService(draining, nowNanos).size() - allowance;
        if (excess <= 0) {
            return List.of();
        }
        TreeMap<String, List<Grant>> byServer = new TreeMap<>();
        grants.keySet()
                .forEach(grant -> byServer.merge(
                        grant.server(),
                        List.of(grant),
                        (a, b) -> java.util.stream.Stream.concat(a.stream(), b.stream())
                                .toList()));
        return byServer.values().stream().limit(excess).flatMap(List::stream).toList();
    }

    /** Returns whether there are neither grants nor reports. */
    public boolean isEmpty(long nowNanos) {
        prune(nowNanos);
        return grants.isEmpty() && reports.isEmpty();
    }

    private void prune(long nowNanos) {
        grants.values().removeIf(entry -> nowNanos - entry.untilNanos() >= 0);
        reports.values().removeIf(report -> nowNanos - report.untilNanos() >= 0);
    }

    /**
     * A grant for one server to one holder.
     *
     * @param server the server
     * @param holder the VM that may eject it
     */
    public record Grant(String server, String holder) {}

    private record Entry(long sequence, long untilNanos) {}

    private record Report(Set<String> servers, long untilNanos) {}
}
