package io.coppershelf.floor.internal;

import io.coppershelf.ticket.Configuration;
import io.coppershelf.ticket.ObjectSpec;
import io.coppershelf.ticket.RouteSpec;
import io.coppershelf.ticket.ServerSpec;
import io.coppershelf.ticket.ServiceSpec;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/** A configuration of one service with several servers, the first of which are draining. */
public record FakeConfiguration(long ticketNumber, int serverCount, int floor, int drainingCount)
        implements Configuration {
    static final String SERVICE = "vagtbank";

    @Override
    public long digest() {
        return ticketNumber;
    }

    @Override
    public Optional<ServiceSpec> service(String name) {
        return Optional.of(new ServiceSpec(name, floor, 0.5));
    }

    @Override
    public long serviceTicket(String name) {
        return ticketNumber;
    }

    @Override
    public List<ServiceSpec> services() {
        return List.of(new ServiceSpec(SERVICE, floor, 0.5));
    }

    @Override
    public Optional<ServerSpec> server(String name) {
        return servers(SERVICE).stream().filter(s -> s.name().equals(name)).findFirst();
    }

    @Override
    public List<ServerSpec> servers(String service) {
        return IntStream.range(0, serverCount)
                .mapToObj(i -> new ServerSpec(server(i), service, "herning", "h", 1, 6, 330, i < drainingCount))
                .toList();
    }

    @Override
    public List<ObjectSpec> unused() {
        return List.of();
    }

    @Override
    public List<RouteSpec> routes() {
        return List.of();
    }

    @Override
    public Optional<RouteSpec> route(String method, String path) {
        return Optional.empty();
    }

    @Override
    public boolean isPathKnown(String path) {
        return false;
    }

    static String server(int number) {
        return SERVICE + "-" + number;
    }
}
