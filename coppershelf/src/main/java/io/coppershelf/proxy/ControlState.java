package io.coppershelf.proxy;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.Catalog;
import io.coppershelf.health.estimate.Observation;

/** What the traffic path is told by the control state, and tells it. Every method may be called by any thread. */
public interface ControlState {
    /** Returns the newest catalog. */
    Catalog catalog();

    /** Returns the number of VMs in the fleet, at least 1. */
    int fleetSize();

    /** Returns whether the VM is leaving and asks callers to use another one. */
    boolean isStopping();

    /**
     * Takes the number of requests that this VM has at a server, after it has changed.
     *
     * @param serverCode the number that stands for the server in messages
     * @param isBegin whether a request has begun; else one has ended
     */
    void loadChanged(long serverCode, int inFlight, boolean isBegin);

    /** Takes the outcome of a request at a server. */
    void observed(BackendServer server, Observation observation);
}
