package io.coppershelf.overload;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The credit of a planner that knows all arrivals and the typical work of each kind: requests with the most credit for
 * their work take the slots first, each as early as it can, and no other if it would be late.
 */
final class AllKnowingPlanner {
    private static final long BUCKET = 10_000_000;

    private AllKnowingPlanner() {}

    static double credit(OverloadScenario scenario, OverloadScenario.Service service, List<SimulatedRequest> requests) {
        int buckets = (int) ((OverloadScenario.END + 5 * OverloadScenario.SECOND) / BUCKET);
        double[] free = new double[buckets];
        for (int i = 0; i < buckets; i++) {
            int lost = (int) Math.round(service.servers() * scenario.lostShare(i * BUCKET));
            free[i] = (double) (service.servers() - lost) * service.slots();
        }
        List<SimulatedRequest> order = new ArrayList<>(requests);
        order.sort(Comparator.comparingDouble(
                request -> -OverloadScenario.credit(request.kind) / request.kind.meanMillis()));
        double credit = 0;
        for (SimulatedRequest request : order) {
            if (place(request, free)) {
                credit += OverloadScenario.credit(request.kind);
            }
        }
        return credit;
    }

    private static boolean place(SimulatedRequest request, double[] free) {
        int first = (int) (request.arrivedNanos / BUCKET);
        int last = (int) ((request.arrivedNanos + request.kind.objectiveNanos()) / BUCKET);
        double left = request.kind.meanMillis() * 1e6 / BUCKET;
        double[] taken = new double[last - first];
        for (int i = first; i < last && left > 1e-9; i++) {
            taken[i - first] = Math.min(Math.min(1, left), free[i]);
            free[i] -= taken[i - first];
            left -= taken[i - first];
        }
        if (left > 1e-9) {
            for (int i = first; i < last; i++) {
                free[i] += taken[i - first];
            }
        }
        return left <= 1e-9;
    }
}
