package io.coppershelf.dispatch;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.RequestKind;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Restricts the choice of a server to those that this VM reaches, and decides whether a request needs another VM
 * instead. Leaves the choice unchanged while no path is down. Not thread-safe.
 */
public final class ReachableChooser {
    private final ServerChooser chooser;
    private final ServerPaths paths;
    private final RelayTargets relays = new RelayTargets();

    /** Creates a chooser. */
    public ReachableChooser(ServerChooser chooser, ServerPaths paths) {
        this.chooser = chooser;
        this.paths = paths;
    }

    /** Returns the paths from this VM to servers. */
    public ServerPaths paths() {
        return paths;
    }

    /** Returns what is known of the services that other VMs reach. */
    public RelayTargets relays() {
        return relays;
    }

    /**
     * Returns the server for a request: one whose path is clear, else one whose path is only doubtful. Empty if none of
     * these accepts requests.
     *
     * @param servers the servers of the service that accept requests
     * @param isLastAttempt whether the request can't be retried if the server fails it
     * @param excluded the ids of servers that the request was already assigned to
     */
    public Optional<BackendServer> choose(
            List<BackendServer> servers, RequestKind kind, boolean isLastAttempt, Set<String> excluded, long nowNanos) {
        if (paths.isAllClear()) {
            return chooser.choose(servers, kind, isLastAttempt, excluded, nowNanos);
        }
        List<BackendServer> clear = servers.stream().filter(paths::isClear).toList();
        return chooser.choose(clear, kind, isLastAttempt, excluded, nowNanos).or(() -> {
            List<BackendServer> notDown = servers.stream()
                    .filter(server -> !paths.isUnreachable(server))
                    .toList();
            return chooser.choose(notDown, kind, isLastAttempt, excluded, nowNanos);
        });
    }

    /**
     * Returns whether another VM can serve a request better: all servers left that accept requests are out of reach, or
     * those in reach have no free slot while other VMs use some that are out of reach.
     *
     * @param servers the servers of the service that accept requests
     * @param excluded the ids of servers that the request was already assigned to
     */
    public boolean isOutOfReach(List<BackendServer> servers, Set<String> excluded, long nowNanos) {
        if (paths.isAllClear()) {
            return false;
        }
        List<BackendServer> left = servers.stream()
                .filter(server -> !excluded.contains(server.id()))
                .filter(server -> chooser.remainingWaitNanos(server, nowNanos) == 0)
                .toList();
        if (left.stream().noneMatch(paths::isClear)) {
            return !left.isEmpty();
        }
        boolean isAnyFree = left.stream()
                .anyMatch(server -> paths.isClear(server) && chooser.estimatedLoad(server, nowNanos) < server.slots());
        return !isAnyFree && left.stream().anyMatch(this::isReachedByOthers);
    }

    private boolean isReachedByOthers(BackendServer server) {
        return paths.isUnreachable(server) && chooser.inFlightOfOthers(server) > 0;
    }
}
