package io.coppershelf.proxy;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.health.estimate.Observation;
import io.coppershelf.poison.CrashRecord;
import io.coppershelf.poison.RequestFingerprint;
import java.util.List;
import java.util.Optional;

/** What the traffic path reports of the servers, for this VM and the others. All methods are thread-safe. */
public interface FleetReports {
    /**
     * Records the number of requests that this VM has in flight at a server, after it has changed.
     *
     * @param isStart whether a request has started; otherwise one has ended
     */
    void loadChanged(BackendServer server, int inFlight, boolean isStart);

    /**
     * Records that a server names another limit than before.
     *
     * @param perSecond the requests a second that it accepts from all VMs together, empty if it names no limit any more
     */
    void serverLimited(BackendServer server, Optional<Double> perSecond);

    /**
     * Records that a server crashed while it ran a request.
     *
     * @param records all servers that are known to have crashed, by fingerprints of the request
     */
    void requestCrashed(List<CrashRecord> records);

    /** Records that a server has completed a request under which another one crashed. */
    void requestCleared(List<RequestFingerprint> fingerprints);

    /** Records the outcome of a request at a server. */
    void observed(BackendServer server, Observation observation);
}
