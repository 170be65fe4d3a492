package io.coppershelf.bench.decisions.baseline;

import io.coppershelf.ticket.ServerSpec;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/** Picks the server with the fewest attempts of this group in flight. */
final class LeastLoaded implements Picker {
    @Override
    public ServerSpec pick(List<ServerSpec> candidates, Map<String, Integer> inFlight) {
        return candidates.stream()
                .min(Comparator.comparingInt(server -> inFlight.getOrDefault(server.name(), 0)))
                .orElseThrow();
    }
}
