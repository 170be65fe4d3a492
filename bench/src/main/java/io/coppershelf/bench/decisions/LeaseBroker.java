package io.coppershelf.bench.decisions;

import io.coppershelf.bench.decisions.LeaseSimulation.Lease;
import io.coppershelf.ticket.ServerSpec;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;

/** The owner of a group that lends its slots, to the earliest deadline first. */
final class LeaseBroker {
    private static final double WAIT_SHARE = 0.75;

    private final Deque<Lease> free = new ArrayDeque<>();
    private final PriorityQueue<BenchRequest> waiting =
            new PriorityQueue<>(Comparator.comparingLong(BenchRequest::deadlineNanos));
    private final double nanosPerRequest;

    /** A lease for a request. */
    record Grant(Lease lease, BenchRequest request) {}

    LeaseBroker(List<ServerSpec> servers, ServiceProfile service) {
        for (int slot = 0; slot < service.slots(); slot++) {
            servers.forEach(server -> free.add(new Lease(server.name(), this)));
        }
        this.nanosPerRequest = service.meanNanos() / free.size();
    }

    /** Takes a request for a lease; returns false if it could not be met in time. */
    boolean request(BenchRequest request, long nowNanos) {
        double allowed = WAIT_SHARE * (double) (request.deadlineNanos() - nowNanos);
        if (free.isEmpty() && waiting.size() * nanosPerRequest > allowed) {
            return false;
        }
        waiting.add(request);
        return true;
    }

    /** Returns the leases that can be granted now. */
    List<Grant> grants(long nowNanos) {
        List<Grant> grants = new ArrayList<>();
        while (!free.isEmpty() && !waiting.isEmpty()) {
            BenchRequest request = waiting.remove();
            if (request.deadlineNanos() > nowNanos) {
                grants.add(new Grant(free.removeFirst(), request));
            }
        }
        return grants;
    }

    /** Takes a lease back. */
    void release(Lease lease) {
        free.addLast(lease);
    }

    /** Returns whether others wait for a lease; told to entry VMs with the answers. */
    boolean isContended() {
        return !waiting.isEmpty();
    }

    /** Returns how busy the group is. */
    int backlog() {
        return waiting.size() - free.size();
    }
}
