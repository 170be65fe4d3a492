package io.coppershelf.dispatch;

import io.coppershelf.catalog.BackendServer;
import java.util.Optional;
import java.util.Set;

/** Chooses servers for one request. */
public interface AttemptAllocator {
    /**
     * Returns the best server whose id is not excluded.
     *
     * @param isLastChance whether the request can't be sent again if the server fails it
     */
    Optional<BackendServer> choose(Set<String> excluded, boolean isLastChance);

    /** Returns whether the budget of the service has a repeat left. */
    boolean canRetry();

    /** Takes one repeat from the budget of the service; returns whether it had any left. */
    boolean tryAcquireRetry();
}
