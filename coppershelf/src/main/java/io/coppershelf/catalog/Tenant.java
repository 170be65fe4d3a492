package io.coppershelf.catalog;

import java.util.Optional;

/**
 * A customer whose callers identify themselves with API keys.
 *
 * @param name the name, which servers receive
 * @param rank the urgency of its requests, 0 is the most urgent; takes precedence over that of the route, empty if it
 *     has none of its own
 * @param cap the usage cap, empty if it has none
 */
public record Tenant(String name, Optional<Integer> rank, Optional<UsageCap> cap) {
    /** Spares the start the classes that the JVM generates for the method of a record, as no archive holds them. */
    @Override
    public int hashCode() {
        return name.hashCode();
    }

    /** Returns the urgency of a request of this tenant on the route. */
    public int rankOn(Route route) {
        return rank.orElse(route.rank());
    }
}
