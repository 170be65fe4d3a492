package io.coppershelf.dispatch;

import io.coppershelf.catalog.Route;
import io.coppershelf.catalog.WeightedService;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Shares the requests of a route among its parts by their weights, with smooth weighted round robin. It starts at a
 * random point, so that many VMs with few requests each keep to the weights together. Not safe for several threads.
 */
public final class WeightedRoundRobin {
    /** Routes that are remembered at most; beyond it all start anew, which costs one request's evenness each. */
    private static final int MOST_TURNS = 4096;

    private final Random random;
    private final Map<String, Turn> turns = new HashMap<>();

    /** Creates a split whose starting points come from the random source. */
    public WeightedRoundRobin(Random random) {
        this.random = random;
    }

    /** Returns the service that gets the next request of the route. */
    public String next(Route route) {
        List<WeightedService> parts = route.weightedServices();
        if (parts.size() == 1) {
            return parts.get(0).service();
        }
        Turn turn = turns.get(route.name());
        if (turn == null || !turn.parts.equals(parts)) {
            if (turns.size() >= MOST_TURNS) {
                turns.clear();
            }
            turn = new Turn(parts, random);
            turns.put(route.name(), turn);
        }
        return turn.next();
    }

    private static final class Turn {
        private final List<WeightedService> parts;
        private final double[] credits;
        private final double total;

        Turn(List<WeightedService> parts, Random random) {
            this.parts = parts;
            credits = new double[parts.size()];
            total = parts.stream().mapToDouble(WeightedService::weight).sum();
            for (int i = 0; i < credits.length; i++) {
                credits[i] = random.nextDouble() * total;
            }
        }

        String next() {
            int best = -1;
            for (int i = 0; i < credits.length; i++) {
                credits[i] += parts.get(i).weight();
                boolean isEligible = parts.get(i).weight() > 0;
                if (isEligible && (best < 0 || credits[i] > credits[best])) {
                    best = i;
                }
            }
            int chosen = Math.max(best, 0);
            credits[chosen] -= total;
            return parts.get(chosen).service();
        }
    }
}
