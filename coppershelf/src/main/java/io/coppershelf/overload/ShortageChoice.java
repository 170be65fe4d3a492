package io.coppershelf.overload;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.RequestKind;
import io.coppershelf.dispatch.ReachableChooser;
import io.coppershelf.dispatch.ServerChooser;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses servers while a service is short of capacity. A server that the floor needs comes first: the samples in which
 * requests are spread otherwise contain it too rarely. Not thread-safe.
 */
public final class ShortageChoice {
    private final ServerChooser chooser;
    private final ReachableChooser reachable;

    /** Creates a choice among the servers that the two choosers know. */
    public ShortageChoice(ServerChooser chooser, ReachableChooser reachable) {
        this.chooser = chooser;
        this.reachable = reachable;
    }

    /**
     * Returns the server for an attempt. A retry is sent only to a server with a free slot, so that it takes no place
     * in a queue from a first attempt.
     *
     * @param admission the control of the service
     * @param servers the servers of the service that accept requests
     * @param isLastAttempt whether the request can't be retried if the server fails it
     * @param excluded the ids of servers that the request was already assigned to
     */
    public Optional<BackendServer> choose(
            ServiceAdmission admission,
            List<BackendServer> servers,
            RequestKind kind,
            boolean isRetry,
            boolean isLastAttempt,
            Set<String> excluded,
            long nowNanos) {
        List<BackendServer> idle = chooser.idleServers(
                servers.stream().filter(reachable.paths()::isClear).toList(), kind, isLastAttempt, nowNanos);
        Optional<BackendServer> forFloor = reachable.choose(idle, kind, isLastAttempt, excluded, nowNanos);
        if (forFloor.isPresent()) {
            return forFloor;
        }
        if (isRetry) {
            List<BackendServer> free = servers.stream()
                    .filter(server -> chooser.hasFreeSlot(server, nowNanos))
                    .toList();
            return reachable.choose(free, kind, isLastAttempt, excluded, nowNanos);
        }
        List<BackendServer> trusted = servers.stream()
                .filter(server -> !chooser.isSuspected(server, nowNanos))
                .toList();
        List<BackendServer> candidates =
                admission.candidates(trusted.isEmpty() ? servers : trusted, chooser::isCounted, nowNanos);
        return reachable
                .choose(candidates, kind, isLastAttempt, excluded, nowNanos)
                .or(() -> reachable.choose(servers, kind, isLastAttempt, excluded, nowNanos));
    }
}
