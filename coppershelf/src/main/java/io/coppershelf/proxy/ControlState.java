package io.coppershelf.proxy;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.Catalog;
import io.coppershelf.dispatch.FleetPosition;
import io.coppershelf.quota.TokenSource;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;

/** The control state as the traffic path reads and updates it. All methods are thread-safe. */
public interface ControlState {
    /** Returns the newest catalog. */
    Catalog catalog();

    /** Returns whether no configuration is known to be published that is newer than the one in force. */
    boolean isConfigurationCurrent();

    /**
     * Returns whether API keys may be looked up in the configuration in force; false if it was taken over when this VM
     * started and was then found to be old, so that it may hold keys that are refused everywhere else.
     */
    boolean isConfigurationSufficient();

    /** Returns what provides tokens for requests of tenants with a usage cap, empty if caps are not in force. */
    Optional<TokenSource> tokens();

    /** Returns the position of this VM among the live VMs. */
    FleetPosition fleetPosition();

    /** Returns whether the VM is stopping and closes callers' connections after their answers. */
    boolean isStopping();

    /** Records that a server announced that it leaves; it gets no new requests of the fleet. */
    void serverLeaving(BackendServer server);

    /**
     * Returns another live VM that reaches servers, as far as is known; empty if there is none.
     *
     * @param excluded the VMs that must not be chosen
     */
    Optional<InetSocketAddress> relay(Set<InetSocketAddress> excluded);

    /** Records whether this VM reaches any server, and tells the other VMs. */
    void serversReachable(boolean isReachable);

    /** Returns what receives the reports on servers. */
    FleetReports reports();
}
