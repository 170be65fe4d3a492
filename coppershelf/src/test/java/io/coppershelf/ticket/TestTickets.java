package io.coppershelf.ticket;

import java.time.Duration;
import java.util.List;

/** Creates tickets and their objects for tests. */
final class TestTickets {
    private TestTickets() {}

    static Ticket ticket(long number, ObjectState... objects) {
        return new Ticket(number, List.of(objects));
    }

    static RouteSpec route(String name, String service, String method, String path) {
        return new RouteSpec(name, service, method, path, true, Duration.ofSeconds(2), 5, 0, 4096);
    }

    static ServerSpec server(String name, String service) {
        return new ServerSpec(name, service, "herning", "127.0.0.1", 7000, 6, 330, false);
    }
}
