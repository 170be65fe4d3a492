package io.coppershelf.mesh;

import io.coppershelf.catalog.ServerList;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * Requests what other VMs know of the servers when this VM has just started. Without it the VM sends requests to
 * servers that all others know to be unhealthy. Not thread-safe.
 */
final class SummaryFetcher {
    /** Time after the start within which summaries are requested; later this VM has observations of its own. */
    private static final long REQUEST_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Supplier<Optional<InetSocketAddress>> peers;
    private final BiConsumer<InetSocketAddress, MeshMessage> messenger;
    private final Set<InetSocketAddress> requested = new HashSet<>();
    private boolean isReceived;

    /**
     * Creates a fetcher.
     *
     * @param peers returns a random live VM, empty if none is known
     * @param messenger sends a message to a VM
     */
    SummaryFetcher(Supplier<Optional<InetSocketAddress>> peers, BiConsumer<InetSocketAddress, MeshMessage> messenger) {
        this.peers = peers;
        this.messenger = messenger;
    }

    /**
     * Requests the summaries of one VM, unless some were received, the start was too long ago, or the servers that they
     * are on are not known yet.
     */
    void requestIfMissing(ServerList servers, long ageNanos) {
        if (isReceived || ageNanos >= REQUEST_NANOS || servers.all().isEmpty()) {
            return;
        }
        peers.get().ifPresent(peer -> {
            requested.add(peer);
            messenger.accept(peer, new MeshMessage.SummaryRequest());
        });
    }

    /** Handles a message on servers; other VMs send summaries of their own accord that cover fewer servers. */
    void received(InetSocketAddress sender, MeshMessage message) {
        isReceived |= message instanceof MeshMessage.ServerSummary && requested.contains(sender);
    }
}
