package io.coppershelf.proxy;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.Catalog;
import io.coppershelf.dispatch.FleetPosition;
import io.coppershelf.health.estimate.Observation;
import java.util.Optional;

/** The control state as the traffic path reads and updates it. All methods are thread-safe. */
public interface ControlState {
    /** Returns the newest catalog. */
    Catalog catalog();

    /** Returns the position of this VM among the live VMs. */
    FleetPosition fleetPosition();

    /** Returns whether the VM is stopping and closes callers' connections after their answers. */
    boolean isStopping();

    /**
     * Records the number of requests that this VM has in flight at a server, after it has changed.
     *
     * @param isStart whether a request has started; otherwise one has ended
     */
    void loadChanged(BackendServer server, int inFlight, boolean isStart);

    /** Records that a server announced that it leaves; it gets no new requests of the fleet. */
    void serverLeaving(BackendServer server);

    /**
     * Records that a server names another limit than before.
     *
     * @param perSecond the requests a second that it accepts from all VMs together, empty if it names no limit any more
     */
    void serverLimited(BackendServer server, Optional<Double> perSecond);

    /** Records the outcome of a request at a server. */
    void observed(BackendServer server, Observation observation);
}
