package io.coppershelf.ticket;

import io.coppershelf.component.ComponentKey;
import java.util.List;
import java.util.Optional;

/** An immutable snapshot of the configuration in force, with the look-ups that the traffic path needs. */
public interface Configuration {
    /** Returns the highest ticket number applied, 0 before the first. */
    long ticketNumber();

    /** Returns a digest over all objects and their ticket numbers, equal on VMs with an equal configuration. */
    long digest();

    /** Returns the service of the given name. */
    Optional<ServiceSpec> service(String name);

    /** Returns the number of the ticket that set the service, 0 if none did. */
    long serviceTicket(String name);

    /** Returns all services in the order of their names. */
    List<ServiceSpec> services();

    /** Returns the backend server of the given name. */
    Optional<ServerSpec> server(String name);

    /** Returns the backend servers of a service in the order of their names. */
    List<ServerSpec> servers(String service);

    /** Returns all routes in the order of their names. */
    List<RouteSpec> routes();

    /**
     * Returns the route that matches the method and the path; an exact path takes precedence over a prefix, and a
     * longer prefix over a shorter one.
     */
    Optional<RouteSpec> route(String method, String path);

    /** Returns whether any route matches the path, whatever the method. */
    boolean isPathKnown(String path);

    /** Returns the backend servers and routes that are not used because their service is not known. */
    List<ObjectSpec> unused();

    /** Provides traffic threads with the configuration in force. */
    interface Source {
        ComponentKey<Source> NAME = ComponentKey.named("configuration", Source.class);

        /** Returns the latest snapshot. */
        Configuration current();

        /** Calls the listener on the control thread after each change. */
        void onChange(Runnable listener);
    }
}
