package io.coppershelf.bench.slopes;

import io.coppershelf.membership.Vm;
import io.coppershelf.ticket.ObjectSpec;
import io.coppershelf.ticket.ObjectState;
import io.coppershelf.ticket.RouteSpec;
import io.coppershelf.ticket.ServerSpec;
import io.coppershelf.ticket.ServiceSpec;
import io.coppershelf.ticket.Ticket;
import java.time.Duration;
import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

/** Builds objects in the numbers and shapes of a large installation. */
final class SampleObjects {
    private static final int DATA_CENTRES = 31;
    private static final int SERVICES = 3200;
    private static final int OBJECTS_PER_TICKET = 1000;

    private SampleObjects() {}

    static ServiceSpec service(int index) {
        return new ServiceSpec("service-" + index % SERVICES, 30, 0.5);
    }

    static ServerSpec server(int index) {
        int service = index % SERVICES;
        return new ServerSpec(
                "service-" + service + "-server-" + index / SERVICES,
                "service-" + service,
                dataCentre(index),
                "10." + (index >> 16) + "." + (index >> 8 & 255) + "." + (index & 255),
                8080,
                6,
                330,
                false);
    }

    static RouteSpec route(int index) {
        int service = index % SERVICES;
        int kind = index / SERVICES;
        return new RouteSpec(
                "service-" + service + "/kind-" + kind,
                "service-" + service,
                kind % 3 == 0 ? "POST" : "GET",
                "/service-" + service + "/kind-" + kind,
                kind % 3 != 0,
                Duration.ofSeconds(2),
                1 + kind % 5,
                16 << 10,
                256 << 10);
    }

    static Vm vm(int index) {
        return new Vm(
                "vm-" + index,
                1_796_000_000_000L + index,
                dataCentre(index),
                "10.200." + (index >> 8) + "." + (index & 255),
                18090,
                18091,
                false);
    }

    static List<Ticket> tickets(int count, IntFunction<ObjectSpec> specs) {
        int tickets = (count + OBJECTS_PER_TICKET - 1) / OBJECTS_PER_TICKET;
        return IntStream.range(0, tickets)
                .mapToObj(number -> new Ticket(
                        number + 1,
                        IntStream.range(number * OBJECTS_PER_TICKET, Math.min(count, (number + 1) * OBJECTS_PER_TICKET))
                                .mapToObj(specs)
                                .sorted(java.util.Comparator.comparing(ObjectSpec::key))
                                .map(ObjectState::present)
                                .toList()))
                .toList();
    }

    private static String dataCentre(int index) {
        return "region-" + index % DATA_CENTRES % 9 + "-dc-" + index % DATA_CENTRES;
    }
}
