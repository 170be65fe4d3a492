package io.coppershelf.floor.internal;

import io.coppershelf.ticket.Configuration;
import io.coppershelf.ticket.ServerSpec;
import io.coppershelf.ticket.ServiceSpec;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The rules of the configuration on how many servers of a service may be out of service.
 *
 * @param ticket the number of the ticket that last changed the service, 0 if none did
 * @param allowance the number of servers that may be out of service: number of servers minus floor
 * @param draining the servers that are draining by ticket
 */
public record ServiceRules(long ticket, int allowance, Set<String> draining) {
    /** Returns the rules of the service in the given configuration. */
    public static ServiceRules of(Configuration configuration, String service) {
        List<ServerSpec> servers = configuration.servers(service);
        int floor = configuration.service(service).map(ServiceSpec::floor).orElse(servers.size());
        Set<String> draining = servers.stream()
                .filter(ServerSpec::draining)
                .map(ServerSpec::name)
                .collect(Collectors.toUnmodifiableSet());
        return new ServiceRules(configuration.serviceTicket(service), servers.size() - floor, draining);
    }
}
