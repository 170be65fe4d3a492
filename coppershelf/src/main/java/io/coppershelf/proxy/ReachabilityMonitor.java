package io.coppershelf.proxy;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.dispatch.ServerPaths;
import io.coppershelf.dispatch.ServerReachability;
import io.coppershelf.eventlog.EventLog;
import io.coppershelf.eventlog.Fields;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;

/** Checks whether this VM reaches any server and which ones, and announces changes. Runs on the traffic thread. */
final class ReachabilityMonitor {
    private final ServerReachability reachability;
    private final ServerPaths paths;
    private final ServerConnectionPool pool;
    private final ControlState state;
    private final EventLog log;
    private final Consumer<Boolean> onChange;
    private List<Runnable> waiting = new ArrayList<>();
    private boolean isAnnouncedCutOff;

    /**
     * Creates a monitor.
     *
     * @param onChange receives whether this VM reaches servers, after that has changed
     */
    ReachabilityMonitor(
            ServerReachability reachability,
            ServerPaths paths,
            ServerConnectionPool pool,
            ControlState state,
            EventLog log,
            Consumer<Boolean> onChange) {
        this.reachability = reachability;
        this.paths = paths;
        this.pool = pool;
        this.state = state;
        this.log = log;
        this.onChange = onChange;
    }

    /** Runs an action once it is known whether this VM reaches servers. */
    void whenSettled(Runnable action) {
        waiting.add(action);
        poll();
    }

    /** Runs an action once it is known that this VM reaches servers; drops it if it reaches none. */
    void ifReachable(Runnable action) {
        whenSettled(() -> {
            if (!reachability.isCutOff()) {
                action.run();
            }
        });
    }

    /** Starts the checks that are due, and handles a change of the result. */
    void poll() {
        for (BackendServer server : reachability.pollChecks(this::acceptingServers, System.nanoTime())) {
            pool.check(server, result -> poll());
        }
        for (BackendServer server : paths.pollChecks(System.nanoTime())) {
            pool.check(server, result -> poll());
        }
        if (reachability.isCutOff() != isAnnouncedCutOff) {
            isAnnouncedCutOff = reachability.isCutOff();
            log.important(isAnnouncedCutOff ? "servers-unreachable" : "servers-reachable", Fields.of());
            onChange.accept(!isAnnouncedCutOff);
        }
        if (reachability.isCutOff() || !reachability.isInDoubt()) {
            List<Runnable> settled = waiting;
            waiting = new ArrayList<>();
            settled.forEach(Runnable::run);
        }
    }

    private Collection<BackendServer> acceptingServers() {
        return state.catalog().servers().accepting();
    }
}
