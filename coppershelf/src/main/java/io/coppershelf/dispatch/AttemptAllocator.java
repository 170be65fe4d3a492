package io.coppershelf.dispatch;

import io.coppershelf.catalog.BackendServer;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/** Allocates servers and retry budget to the attempts of one request. */
public interface AttemptAllocator {
    /**
     * Returns the best server whose id is not excluded.
     *
     * @param isLastAttempt whether the request can't be retried if the server fails it
     */
    Optional<BackendServer> choose(Set<String> excluded, boolean isLastAttempt);

    /**
     * Returns the time after which the caller may retry since all servers of the service requested a pause or are at
     * their limit; empty if a server accepts requests.
     */
    Optional<Duration> pause();

    /**
     * Returns the time for which the request is kept from the servers, since too many of them crashed while they ran
     * it; empty if it may be sent.
     */
    Optional<Duration> quarantine();

    /** Returns whether this VM reaches no server, so that only other VMs can send the request to one. */
    boolean isCutOff();

    /**
     * Returns whether the servers of the service that are left are out of reach of this VM, so that another one should
     * send the request.
     *
     * @param excluded the ids of servers that the request was already assigned to
     */
    boolean isOutOfReach(Set<String> excluded);

    /**
     * Returns a VM that can send the request to a server, empty if none is known or the request was itself received
     * from a VM.
     */
    Optional<InetSocketAddress> relay(Set<InetSocketAddress> excluded);

    /** Returns whether the retry budget of the service has a retry left. */
    boolean canRetry();

    /**
     * Acquires one retry from the retry budget of the service; returns whether any was left for this request.
     *
     * @param isProvedNotRun whether the request has not run, so that its caller may send it again by itself
     */
    boolean tryAcquireRetry(boolean isProvedNotRun);
}
