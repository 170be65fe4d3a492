package io.coppershelf.bench.fleet;

import io.coppershelf.ticket.ObjectState;
import io.coppershelf.ticket.ServerSpec;
import io.coppershelf.ticket.ServiceSpec;
import io.coppershelf.ticket.Ticket;
import io.coppershelf.ticket.TicketDocument;
import java.util.List;

/** Builds tickets that change one object. */
public final class TicketEdits {
    private TicketEdits() {}

    /** Returns a ticket that drains a server. */
    public static String drain(long number, ServerSpec server) {
        ServerSpec draining = new ServerSpec(
                server.name(),
                server.service(),
                server.dataCentre(),
                server.host(),
                server.port(),
                server.slots(),
                server.connections(),
                true);
        return TicketDocument.write(new Ticket(number, List.of(ObjectState.present(draining))));
    }

    /** Returns a ticket that sets the floor of a service. */
    public static String floor(long number, ServiceSpec service, int floor) {
        ServiceSpec changed = new ServiceSpec(service.name(), floor, service.detectionWeight());
        return TicketDocument.write(new Ticket(number, List.of(ObjectState.present(changed))));
    }
}
