package io.coppershelf.bench.fleet;

import io.coppershelf.ticket.ObjectSpec;
import io.coppershelf.ticket.RouteSpec;
import io.coppershelf.ticket.ServerSpec;
import io.coppershelf.ticket.ServiceSpec;
import io.coppershelf.ticket.Ticket;
import io.coppershelf.ticket.TicketDocument;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** A ticket read from a file. */
public final class TicketFile {
    private final Ticket ticket;

    private TicketFile(Ticket ticket) {
        this.ticket = ticket;
    }

    /** Reads and validates the file. */
    public static TicketFile read(Path file) throws IOException {
        return new TicketFile(TicketDocument.parse(Files.readString(file)));
    }

    /** Returns the number of the ticket. */
    public long number() {
        return ticket.number();
    }

    /** Returns the services. */
    public List<ServiceSpec> services() {
        return specs(ServiceSpec.class);
    }

    /** Returns the backend servers. */
    public List<ServerSpec> servers() {
        return specs(ServerSpec.class);
    }

    /** Returns the backend servers of a service. */
    public List<ServerSpec> servers(String service) {
        return servers().stream()
                .filter(server -> server.service().equals(service))
                .toList();
    }

    /** Returns the routes. */
    public List<RouteSpec> routes() {
        return specs(RouteSpec.class);
    }

    /** Returns the routes of a service. */
    public List<RouteSpec> routes(String service) {
        return routes().stream()
                .filter(route -> route.service().equals(service))
                .toList();
    }

    private <T extends ObjectSpec> List<T> specs(Class<T> type) {
        return ticket.objects().stream()
                .flatMap(state -> state.spec().stream())
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }
}
