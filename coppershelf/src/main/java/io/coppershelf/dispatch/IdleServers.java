package io.coppershelf.dispatch;

import io.coppershelf.catalog.BackendServer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The servers that accept requests and have had none for two seconds, by the reason why. Only servers are listed whose
 * requests this VM sees.
 *
 * @param healthy the servers that could have got a request
 * @param suspected the servers that failed and have not shown since that they recovered
 * @param unavailable the servers that are not suspected, but can't be reached, pause, or seem to have no free slot
 */
public record IdleServers(List<BackendServer> healthy, List<BackendServer> suspected, List<BackendServer> unavailable) {
    private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Returns the idle ones among the servers. */
    public static IdleServers among(List<BackendServer> servers, ServerChooser chooser, long nowNanos) {
        List<BackendServer> healthy = new ArrayList<>();
        List<BackendServer> suspected = new ArrayList<>();
        List<BackendServer> unavailable = new ArrayList<>();
        for (BackendServer server : servers) {
            if (!chooser.isIdle(server, IDLE_NANOS, nowNanos)) {
                continue;
            }
            if (!chooser.allowsTrial(server, nowNanos)) {
                suspected.add(server);
            } else if (chooser.canTakeTrial(server, nowNanos)) {
                healthy.add(server);
            } else {
                unavailable.add(server);
            }
        }
        return new IdleServers(healthy, suspected, unavailable);
    }
}
