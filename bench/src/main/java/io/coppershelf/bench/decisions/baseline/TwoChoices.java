package io.coppershelf.bench.decisions.baseline;

import io.coppershelf.ticket.ServerSpec;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Picks the less loaded of two random servers, by reported load and the VM's own attempts in flight.
 *
 * @see <a href="https://doi.org/10.1109/71.963420">Mitzenmacher, The Power of Two Choices in Randomized Load Balancing,
 *     2001</a>
 */
public final class TwoChoices implements Picker {
    private final LoadReports reports;
    private final RandomGenerator random;

    /** Creates a picker that compares the servers by the given load reports. */
    public TwoChoices(LoadReports reports, RandomGenerator random) {
        this.reports = reports;
        this.random = random;
    }

    @Override
    public ServerSpec pick(List<ServerSpec> candidates, Map<String, Integer> inFlight) {
        ServerSpec first = candidates.get(random.nextInt(candidates.size()));
        ServerSpec second = candidates.get(random.nextInt(candidates.size()));
        return load(second, inFlight) < load(first, inFlight) ? second : first;
    }

    private int load(ServerSpec server, Map<String, Integer> inFlight) {
        return reports.load(server.name()) + inFlight.getOrDefault(server.name(), 0);
    }
}
