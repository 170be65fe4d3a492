package io.coppershelf.platform;

import io.coppershelf.component.ComponentKey;
import io.coppershelf.membership.Vm;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's API, which can only be read and watched. Each call counts against the platform's call limit; a waiting
 * watch counts as one call.
 *
 * <p>The futures complete exceptionally with a {@link io.coppershelf.outcome.CoppershelfException} of the kinds
 * {@code PLATFORM_UNREACHABLE} or {@code PLATFORM_GARBLED}.
 */
public interface Platform {
    ComponentKey<Platform> NAME = ComponentKey.named("platform", Platform.class);

    /**
     * Reads the tickets whose position is above the given one, waiting for one if there is none.
     *
     * @param position the position reached so far, 0 for all
     * @param wait how long the platform may wait for a change before it answers; zero for a plain read
     */
    CompletableFuture<PublishedTickets> tickets(long position, Duration wait);

    /** Reads the list of live and leaving VMs, waiting for a revision above the given one. */
    CompletableFuture<PublishedVms> vms(long revision, Duration wait);

    /**
     * Published tickets as raw JSON documents, in the order of their publication; each is validated separately.
     *
     * @param position the position of the last one
     * @param documents one JSON document per ticket
     */
    record PublishedTickets(long position, List<String> documents) {}

    /**
     * The platform's list of VMs.
     *
     * @param revision grows with each change of the list
     * @param vms the VMs
     */
    record PublishedVms(long revision, List<Vm> vms) {}
}
