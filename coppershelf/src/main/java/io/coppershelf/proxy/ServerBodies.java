package io.coppershelf.proxy;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.ServerList;
import io.coppershelf.dispatch.ServerChooser;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Bounds the large bodies at each server to one a slot, since servers crash if the requests that they hold exceed their
 * memory. The other VMs report how many requests they have at a server but not their sizes: the share of large ones
 * among them is taken to be that among the requests of this VM to the service. Confined to the traffic thread.
 */
final class ServerBodies {
    /** Size from which a body is large, in bytes. */
    private static final int LARGE_BYTES = 64 * 1024;

    /** Time after which a caller may retry if all servers are full; servers end requests within it. */
    private static final Duration FULL_RETRY_AFTER = Duration.ofMillis(400);

    private final ServerChooser chooser;
    private final boolean isBounded;
    private final Map<String, Held> heldByServer = new HashMap<>();
    private final Map<String, LargeShare> shareByService = new HashMap<>();

    /**
     * Creates a bound that knows no request in flight.
     *
     * @param isBounded whether servers are kept from large bodies; else these are only counted
     */
    ServerBodies(ServerChooser chooser, boolean isBounded) {
        this.chooser = chooser;
        this.isBounded = isBounded;
    }

    /** Returns whether the request counts. */
    static boolean isLarge(CallerRequest request) {
        return request.body().length > LARGE_BYTES;
    }

    /** Returns the ids of the excluded servers, and those of the servers that may not get the request. */
    Set<String> unsuitable(CallerRequest request, List<BackendServer> servers, Set<String> excluded) {
        if (!isBounded || !isLarge(request)) {
            return excluded;
        }
        Set<String> all = new TreeSet<>(excluded);
        servers.stream().filter(this::isFull).forEach(server -> all.add(server.id()));
        return all;
    }

    /** Returns the time after which the caller may retry if no server may get the request, empty if one may. */
    Optional<Duration> pause(CallerRequest request, List<BackendServer> servers) {
        boolean isBlocked = isBounded
                && isLarge(request)
                && !servers.isEmpty()
                && servers.stream().allMatch(this::isFull);
        return isBlocked ? Optional.of(FULL_RETRY_AFTER) : Optional.empty();
    }

    /** Counts a request that is sent to the server. */
    void started(BackendServer server, boolean isLarge) {
        share(server).record(isLarge);
        if (!isLarge) {
            return;
        }
        Held held = heldByServer.computeIfAbsent(server.id(), id -> new Held());
        held.peak = held.count == 0 ? 0 : held.peak;
        held.count++;
        held.peak = Math.max(held.peak, count(server));
    }

    /** Counts the end of a large request at the server. */
    void ended(BackendServer server) {
        Held held = heldByServer.get(server.id());
        if (held != null) {
            held.peak = Math.max(held.peak, count(server));
            held.count--;
        }
    }

    /** Returns whether the server had more large bodies than slots while this VM last had some there. */
    boolean hadTooMany(BackendServer server) {
        Held held = heldByServer.get(server.id());
        return held != null && held.peak > server.slots();
    }

    /**
     * Removes the counts of servers and services that are no longer registered and have no large request of this VM.
     */
    void retain(ServerList servers) {
        shareByService.keySet().removeIf(service -> servers.accepting(service).isEmpty());
        heldByServer
                .entrySet()
                .removeIf(entry -> entry.getValue().count == 0
                        && servers.server(entry.getKey()).isEmpty());
    }

    private boolean isFull(BackendServer server) {
        return count(server) >= server.slots();
    }

    private int count(BackendServer server) {
        Held held = heldByServer.get(server.id());
        long others = Math.round(share(server).value * chooser.inFlightOfOthers(server));
        return (held == null ? 0 : held.count) + (int) others;
    }

    private LargeShare share(BackendServer server) {
        return shareByService.computeIfAbsent(server.service(), service -> new LargeShare());
    }

    /** The share of large requests among the last ones to a service; all are taken for large before the first. */
    private static final class LargeShare {
        /** Weight of a request; the share covers about the last hundred. */
        private static final double WEIGHT = 0.01;

        private double value = 1;
        private int requests;

        void record(boolean isLarge) {
            requests++;
            value += Math.max(WEIGHT, 1.0 / (requests + 1)) * ((isLarge ? 1 : 0) - value);
        }
    }

    private static final class Held {
        private int count;
        private int peak;
    }
}
