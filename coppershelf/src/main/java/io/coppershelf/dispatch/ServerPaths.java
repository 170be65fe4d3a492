package io.coppershelf.dispatch;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.ServerList;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The network paths from this VM to servers, as new connections show them. A server to which a connection failed is
 * unreachable until a check in the background succeeds. Failures of several servers of one service or data centre raise
 * a doubt about the other servers there, which checks settle one by one. Free of I/O and clocks; not thread-safe.
 */
public final class ServerPaths {
    /** Number of servers of a group that must fail within the window before the others of the group are doubtful. */
    static final int GROUP_FAILURES = 3;
    /** Time within which the failures of a group count together; a few times the connection timeout. */
    static final long GROUP_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** Time before the first failure of a group from which a success still proves a path; the connection timeout. */
    private static final long PROOF_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    /** Interval between a failure and the next check; it doubles with each consecutive failure. */
    static final long MIN_RECHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    /** Number of times that the interval doubles, up to 2.4 seconds. */
    private static final int MAX_DOUBLINGS = 3;
    /** Checks in flight at a time; with a connection timeout of 0.4 s these are 20 failing checks a second. */
    static final int MAX_CHECKS = 8;
    /** Servers that one doubt concerns at most, so that it opens no connections to all servers of a large fleet. */
    static final int MAX_DOUBTFUL = 200;

    private final Map<String, Path> troubled = new HashMap<>();
    private final Map<String, Proof> proofs = new HashMap<>();
    private final Map<String, Deque<Failure>> failuresByGroup = new HashMap<>();

    /** Returns whether no path is known or suspected to be down. */
    public boolean isAllClear() {
        return troubled.isEmpty();
    }

    /** Returns whether the path to the server is neither down nor doubtful, as far as is known. */
    public boolean isClear(BackendServer server) {
        return path(server) == null;
    }

    /** Returns whether the last connection to the server failed. */
    public boolean isUnreachable(BackendServer server) {
        Path path = path(server);
        return path != null && !path.isDoubtful;
    }

    /**
     * Records a new connection to a server.
     *
     * @return whether the server was unreachable before
     */
    public boolean connected(BackendServer server, long nowNanos) {
        proofs.put(server.id(), new Proof(server, nowNanos));
        Path path = path(server);
        troubled.remove(server.id());
        if (path == null || path.isDoubtful) {
            return false;
        }
        // The cause may have ended for the whole group.
        troubled.values().stream()
                .filter(other -> isSameGroup(other.server, server))
                .forEach(other -> other.nextCheckNanos = Math.min(other.nextCheckNanos, nowNanos));
        return true;
    }

    /** Records an answer over an existing connection, which proves the path at this time. */
    public void answered(BackendServer server, long nowNanos) {
        proofs.put(server.id(), new Proof(server, nowNanos));
    }

    /**
     * Records that a new connection to a server failed.
     *
     * @param servers returns the servers that accept requests; called only if a group of them becomes doubtful
     * @return the servers that have become doubtful
     */
    public List<BackendServer> connectFailed(
            BackendServer server, Supplier<? extends Collection<BackendServer>> servers, long nowNanos) {
        Path path = path(server);
        if (path != null && !path.isDoubtful && !path.isBeingChecked) {
            return List.of();
        }
        boolean isNews = path == null || path.isDoubtful;
        Path failed = path == null ? new Path(server) : path;
        troubled.put(server.id(), failed);
        failed.isDoubtful = false;
        failed.isBeingChecked = false;
        failed.nextCheckNanos = nowNanos + (MIN_RECHECK_NANOS << Math.min(failed.failures, MAX_DOUBLINGS));
        failed.failures++;
        if (!isNews) {
            return List.of();
        }
        List<BackendServer> doubtful = new ArrayList<>();
        doubtful.addAll(raiseDoubt("service/" + server.service(), server, servers, nowNanos));
        doubtful.addAll(raiseDoubt("data-centre/" + server.dataCentre(), server, servers, nowNanos));
        return doubtful;
    }

    /** Returns the servers to which a connection has to be opened now, to find out whether the path is back. */
    public List<BackendServer> pollChecks(long nowNanos) {
        if (troubled.isEmpty()) {
            return List.of();
        }
        long running =
                troubled.values().stream().filter(path -> path.isBeingChecked).count();
        List<Path> due = troubled.values().stream()
                .filter(path -> !path.isBeingChecked && nowNanos - path.nextCheckNanos >= 0)
                .sorted(Comparator.comparing((Path path) -> !path.isDoubtful)
                        .thenComparingLong(path -> path.nextCheckNanos - nowNanos))
                .limit(Math.max(0, MAX_CHECKS - running))
                .toList();
        due.forEach(path -> path.isBeingChecked = true);
        return due.stream().map(path -> path.server).toList();
    }

    /** Makes all paths that are down doubtful, so that they are checked soon. */
    public void recheckAll(long nowNanos) {
        troubled.values().forEach(path -> {
            path.isDoubtful = true;
            path.failures = 0;
            path.nextCheckNanos = nowNanos;
        });
    }

    /** Removes what is known of a server that is no longer registered. */
    public void forget(BackendServer server) {
        if (path(server) != null) {
            troubled.remove(server.id());
        }
    }

    /** Removes what is known of servers that are no longer registered. */
    public void retain(ServerList servers) {
        troubled.values().removeIf(path -> !servers.contains(path.server));
        proofs.values().removeIf(proof -> !servers.contains(proof.server));
    }

    private List<BackendServer> raiseDoubt(
            String group, BackendServer server, Supplier<? extends Collection<BackendServer>> servers, long nowNanos) {
        Deque<Failure> failures = failuresByGroup.computeIfAbsent(group, name -> new ArrayDeque<>());
        failures.removeIf(
                failure -> nowNanos - failure.atNanos > GROUP_WINDOW_NANOS || failure.serverId.equals(server.id()));
        failures.add(new Failure(server.id(), nowNanos));
        if (failures.size() < GROUP_FAILURES) {
            return List.of();
        }
        long provedNanos = failures.getFirst().atNanos - PROOF_NANOS;
        failures.clear();
        boolean isService = group.startsWith("service/");
        List<BackendServer> doubtful = servers.get().stream()
                .filter(other -> isService
                        ? other.service().equals(server.service())
                        : other.dataCentre().equals(server.dataCentre()))
                .filter(other -> path(other) == null && !isProvedSince(other, provedNanos))
                .limit(MAX_DOUBTFUL)
                .toList();
        doubtful.forEach(other -> {
            Path path = new Path(other);
            path.isDoubtful = true;
            path.nextCheckNanos = nowNanos;
            troubled.put(other.id(), path);
        });
        return doubtful;
    }

    private boolean isProvedSince(BackendServer server, long nanos) {
        Proof proof = proofs.get(server.id());
        return proof != null && proof.server.isSameIncarnation(server) && proof.atNanos - nanos >= 0;
    }

    private Path path(BackendServer server) {
        Path path = troubled.isEmpty() ? null : troubled.get(server.id());
        return path == null || !path.server.isSameIncarnation(server) ? null : path;
    }

    private static boolean isSameGroup(BackendServer one, BackendServer other) {
        return one.service().equals(other.service()) || one.dataCentre().equals(other.dataCentre());
    }

    private record Failure(String serverId, long atNanos) {}

    private record Proof(BackendServer server, long atNanos) {}

    /** A path that is down or doubtful. */
    private static final class Path {
        private final BackendServer server;
        private boolean isDoubtful;
        private boolean isBeingChecked;
        private int failures;
        private long nextCheckNanos;

        Path(BackendServer server) {
            this.server = server;
        }
    }
}
