package io.coppershelf.catalog;

import java.time.Duration;
import java.util.List;

/**
 * A route: which requests it takes, where they go and how long they may last.
 *
 * @param name the name
 * @param host the host that callers ask for, in lower case and without a port
 * @param pathPrefix the beginning of the path; starts and ends with a slash
 * @param kind what a request may do when its outcome is unknown
 * @param timeout the longest time that a caller is kept waiting
 * @param objective the time within which an answer has its full worth
 * @param rank the urgency, 0 is the most urgent
 * @param maxServers how many servers a request may be sent to
 * @param weightedServices the services that share the requests, at least one
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
        List<WeightedService> weightedServices) {
    /** Copies the parts. */
    public Route {
        weightedServices = List.copyOf(weightedServices);
    }
}
