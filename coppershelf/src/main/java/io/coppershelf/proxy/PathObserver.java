package io.coppershelf.proxy;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.dispatch.ServerChooser;
import io.coppershelf.dispatch.ServerPaths;
import io.coppershelf.dispatch.ServerReachability;
import io.coppershelf.eventlog.EventLog;
import io.coppershelf.eventlog.Fields;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/** Records the outcomes of new connections to servers. Runs on the traffic thread. */
final class PathObserver implements ServerConnectionPool.Observer {
    private final ServerReachability reachability;
    private final ServerPaths paths;
    private final ServerChooser chooser;
    private final ControlState state;
    private final EventLog log;
    private final Runnable onFailure;

    /**
     * Creates an observer.
     *
     * @param onFailure is run after a new connection has failed, as checks may become due
     */
    PathObserver(
            ServerReachability reachability,
            ServerPaths paths,
            ServerChooser chooser,
            ControlState state,
            EventLog log,
            Runnable onFailure) {
        this.reachability = reachability;
        this.paths = paths;
        this.chooser = chooser;
        this.state = state;
        this.log = log;
        this.onFailure = onFailure;
    }

    @Override
    public void connected(BackendServer server) {
        long now = System.nanoTime();
        reachability.connected(server.id(), now);
        if (paths.connected(server, now)) {
            chooser.stats(server).recordPathSuccess();
            log.important("path-regained", fields(server));
        }
    }

    @Override
    public Collection<BackendServer> failed(BackendServer server) {
        onFailure.run();
        // A path that is known or suspected to be down shows nothing new of the paths to other servers, and its checks
        // fail in a row although servers on other paths are reached. A server that was replaced has ended.
        boolean isRegistered = isRegistered(server);
        if ((isRegistered && paths.isClear(server)) || reachability.isChecking(server.id())) {
            reachability.connectFailed(
                    server.id(), state.catalog().servers().all().size());
        }
        if (!isRegistered) {
            paths.forget(server);
            return List.of();
        }
        boolean isNew = !paths.isUnreachable(server);
        Collection<BackendServer> doubtful = paths.connectFailed(server, this::acceptingServers, System.nanoTime());
        if (isNew) {
            log.important("path-lost", fields(server));
        }
        return doubtful;
    }

    @Override
    public void idleConnectionsChanged(BackendServer server, int count) {
        if (isRegistered(server)) {
            chooser.stats(server).recordIdleConnections(count, System.nanoTime());
        }
    }

    private boolean isRegistered(BackendServer server) {
        return state.catalog().servers().contains(server);
    }

    private Collection<BackendServer> acceptingServers() {
        return state.catalog().servers().accepting();
    }

    private static Map<String, Object> fields(BackendServer server) {
        return Fields.of("server", server.id(), "service", server.service(), "dataCentre", server.dataCentre());
    }
}
