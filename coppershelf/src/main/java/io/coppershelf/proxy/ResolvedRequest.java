package io.coppershelf.proxy;

import io.coppershelf.catalog.Route;
import io.coppershelf.catalog.Tenant;
import java.util.Optional;

/**
 * What the configuration in force says of a request.
 *
 * @param route the route
 * @param tenant the tenant of the caller, empty if none is known
 */
record ResolvedRequest(Route route, Optional<Tenant> tenant) {
    /** Returns the urgency of the request, 0 is the most urgent. */
    int rank() {
        return tenant.map(known -> known.rankOn(route)).orElse(route.rank());
    }
}
