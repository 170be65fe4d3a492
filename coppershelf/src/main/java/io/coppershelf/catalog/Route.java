package io.coppershelf.catalog;

import java.time.Duration;
import java.util.List;

/**
 * A route: which requests it matches, which services they are sent to and how long they may take.
 *
 * @param name the name
 * @param host the host in the requests of callers, in lower case and without a port
 * @param pathPrefix the prefix of the path; starts and ends with a slash
 * @param kind whether a request may run more than once
 * @param timeout the longest time until a caller gets an answer
 * @param objective the time within which an answer has its full value
 * @param rank the urgency, 0 is the most urgent
 * @param maxServers the largest number of servers that a request may be sent to
 * @param weightedServices the services that share the requests, at least one
 * @param isPublic whether its requests need no API key where a configuration has tenants
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        Duration timeout,
        Duration objective,
        int rank,
        int maxServers,
        List<WeightedService> weightedServices,
        boolean isPublic) {
    /** Copies the list. */
    public Route {
        weightedServices = List.copyOf(weightedServices);
    }

    /** Creates a route that is not public. */
    public Route(
            String name,
            String host,
            String pathPrefix,
            RequestKind kind,
            Duration timeout,
            Duration objective,
            int rank,
            int maxServers,
            List<WeightedService> weightedServices) {
        this(name, host, pathPrefix, kind, timeout, objective, rank, maxServers, weightedServices, false);
    }

    /** Returns this route as a public one. */
    public Route asPublic() {
        return new Route(name, host, pathPrefix, kind, timeout, objective, rank, maxServers, weightedServices, true);
    }
}
