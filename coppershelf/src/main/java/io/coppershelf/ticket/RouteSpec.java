package io.coppershelf.ticket;

import java.time.Duration;

/**
 * A request kind of a service: what it matches and how it is served.
 *
 * @param name the name, unique over all services, such as {@code rotavis/week}
 * @param service the service that serves it
 * @param method the HTTP method
 * @param path the path; a last segment {@code *} matches any remainder
 * @param idempotent whether running it twice has the same effect as running it once
 * @param deadline the maximum time from receipt to answer
 * @param weight its weight when not all requests can be served; a larger weight is more important
 * @param largestBody the maximum size of the request body in bytes
 * @param largestAnswer the maximum size of the answer body in bytes
 */
public record RouteSpec(
        String name,
        String service,
        String method,
        String path,
        boolean idempotent,
        Duration deadline,
        int weight,
        int largestBody,
        int largestAnswer)
        implements ObjectSpec {
    @Override
    public ObjectKey key() {
        return new ObjectKey(ObjectType.ROUTE, name);
    }
}
