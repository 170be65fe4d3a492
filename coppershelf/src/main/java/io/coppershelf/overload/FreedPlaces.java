package io.coppershelf.overload;

import io.coppershelf.catalog.BackendServer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Proposes servers while a service is short of capacity. All VMs know the same counts, some 80 ms old in a large fleet:
 * if each chose the least loaded of all servers, their requests would meet at the same few. A VM therefore prefers a
 * server that has just answered it with a short queue, and else chooses among a few random servers. Not thread-safe.
 */
final class FreedPlaces {
    /** Time for which a server that has answered is preferred; others use its slot after it. */
    private static final long EXPIRY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
    /** Requests for each slot from which the place of an answered request is not filled again at once. */
    private static final double MAX_FILL = 2;
    /** Size of the random choice; with two the queues differ more, with many the VMs meet at the same servers. */
    private static final int SAMPLE = 3;

    private final Random random;
    private final Deque<Place> places = new ArrayDeque<>();

    FreedPlaces(Random random) {
        this.random = random;
    }

    /** Records that a server has answered a request of this VM, and its load after that. */
    void add(BackendServer server, int load, long nowNanos) {
        double fill = (double) load / Math.max(1, server.slots());
        if (fill < MAX_FILL) {
            places.add(new Place(server, fill, nowNanos));
        }
        expire(nowNanos);
    }

    /** Returns whether a server has just stated that it has a free slot. */
    boolean hasFreeSlot(long nowNanos) {
        expire(nowNanos);
        return places.stream().anyMatch(place -> place.fill < 1);
    }

    /**
     * Returns the servers among which the next request chooses.
     *
     * @param preferred those of the servers that are sampled if none has just answered
     */
    List<BackendServer> candidates(List<BackendServer> servers, List<BackendServer> preferred, long nowNanos) {
        Optional<BackendServer> freed = poll(nowNanos).filter(servers::contains);
        if (freed.isPresent()) {
            return List.of(freed.get());
        }
        if (preferred.size() <= SAMPLE) {
            return preferred;
        }
        List<BackendServer> sample = new ArrayList<>();
        for (int i = 0; i < SAMPLE; i++) {
            sample.add(preferred.get(random.nextInt(preferred.size())));
        }
        return sample;
    }

    private Optional<BackendServer> poll(long nowNanos) {
        expire(nowNanos);
        Place best = null;
        for (Place place : places) {
            if (best == null || place.fill < best.fill) {
                best = place;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        places.remove(best);
        return Optional.of(best.server);
    }

    private void expire(long nowNanos) {
        while (!places.isEmpty() && nowNanos - places.peek().atNanos > EXPIRY_NANOS) {
            places.remove();
        }
    }

    private record Place(BackendServer server, double fill, long atNanos) {}
}
