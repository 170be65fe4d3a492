package io.coppershelf.bench.decisions;

import io.coppershelf.bench.decisions.LeaseSimulation.Lease;
import io.coppershelf.ticket.ServerSpec;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;

/** The owner of a server group that leases its slots to entry VMs, earliest deadline first. */
final class LeaseBroker {
    /** Largest share of the remaining time that a request may spend waiting for a lease. */
    private static final double WAIT_SHARE = 0.75;

    private final Deque<Lease> free = new ArrayDeque<>();
    private final PriorityQueue<BenchRequest> waiting =
            new PriorityQueue<>(Comparator.comparingLong(BenchRequest::deadlineNanos));
    private final double nanosPerRequest;

    /** A lease and the request to which it is assigned. */
    record LeaseAssignment(Lease lease, BenchRequest request) {}

    LeaseBroker(List<ServerSpec> servers, ServiceProfile service) {
        for (int slot = 0; slot < service.slots(); slot++) {
            servers.forEach(server -> free.add(new Lease(server.name(), this)));
        }
        this.nanosPerRequest = service.meanNanos() / free.size();
    }

    /** Queues a request for a lease; returns false if the expected wait is too long for its deadline. */
    boolean request(BenchRequest request, long nowNanos) {
        double maxWaitNanos = WAIT_SHARE * (double) (request.deadlineNanos() - nowNanos);
        if (free.isEmpty() && waiting.size() * nanosPerRequest > maxWaitNanos) {
            return false;
        }
        waiting.add(request);
        return true;
    }

    /** Assigns the free leases to waiting requests and discards those past their deadline. */
    List<LeaseAssignment> assign(long nowNanos) {
        List<LeaseAssignment> assignments = new ArrayList<>();
        while (!free.isEmpty() && !waiting.isEmpty()) {
            BenchRequest request = waiting.remove();
            if (request.deadlineNanos() > nowNanos) {
                assignments.add(new LeaseAssignment(free.removeFirst(), request));
            }
        }
        return assignments;
    }

    /** Makes a returned lease available again. */
    void release(Lease lease) {
        free.addLast(lease);
    }

    /**
     * Returns whether requests wait for a lease. Entry VMs receive this with the answers and then return leases at
     * once.
     */
    boolean isContended() {
        return !waiting.isEmpty();
    }

    /** Returns the number of waiting requests less the number of free leases. */
    int backlog() {
        return waiting.size() - free.size();
    }
}
