package io.coppershelf.dispatch;

import io.coppershelf.catalog.Route;
import io.coppershelf.catalog.WeightedService;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Distributes the requests of a route over its services by weight, with smooth weighted round robin. Each route starts
 * at a random position, so that many VMs with few requests each match the weights together. Not thread-safe.
 */
public final class WeightedRoundRobin {
    /**
     * Largest number of routes with a stored position; beyond it all routes start anew, which shifts the distribution
     * of each by about one request.
     */
    private static final int MAX_ROUTES = 4096;

    private final Random random;
    private final Map<String, Rotation> rotations = new HashMap<>();

    /** Creates a distribution whose start positions come from the random source. */
    public WeightedRoundRobin(Random random) {
        this.random = random;
    }

    /** Returns the service that gets the next request of the route. */
    public String next(Route route) {
        List<WeightedService> services = route.weightedServices();
        if (services.size() == 1) {
            return services.get(0).service();
        }
        Rotation rotation = rotations.get(route.name());
        if (rotation == null || !rotation.services.equals(services)) {
            if (rotations.size() >= MAX_ROUTES) {
                rotations.clear();
            }
            rotation = new Rotation(services, random);
            rotations.put(route.name(), rotation);
        }
        return rotation.next();
    }

    private static final class Rotation {
        private final List<WeightedService> services;
        private final double[] credits;
        private final double total;

        Rotation(List<WeightedService> services, Random random) {
            this.services = services;
            credits = new double[services.size()];
            total = services.stream().mapToDouble(WeightedService::weight).sum();
            for (int i = 0; i < credits.length; i++) {
                credits[i] = random.nextDouble() * total;
            }
        }

        String next() {
            int best = -1;
            for (int i = 0; i < credits.length; i++) {
                credits[i] += services.get(i).weight();
                boolean isEligible = services.get(i).weight() > 0;
                if (isEligible && (best < 0 || credits[i] > credits[best])) {
                    best = i;
                }
            }
            int chosen = Math.max(best, 0);
            credits[chosen] -= total;
            return services.get(chosen).service();
        }
    }
}
