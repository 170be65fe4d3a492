package io.coppershelf.proxy;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.Catalog;
import io.coppershelf.dispatch.FleetPosition;

/** The control state as the traffic path reads and updates it. All methods are thread-safe. */
public interface ControlState {
    /** Returns the newest catalog. */
    Catalog catalog();

    /** Returns the position of this VM among the live VMs. */
    FleetPosition fleetPosition();

    /** Returns whether the VM is stopping and closes callers' connections after their answers. */
    boolean isStopping();

    /** Records that a server announced that it leaves; it gets no new requests of the fleet. */
    void serverLeaving(BackendServer server);

    /** Returns what receives the reports on servers. */
    FleetReports reports();
}
