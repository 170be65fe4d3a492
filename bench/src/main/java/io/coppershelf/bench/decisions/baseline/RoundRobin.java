package io.coppershelf.bench.decisions.baseline;

import io.coppershelf.ticket.ServerSpec;
import java.util.List;
import java.util.Map;

/** Picks the servers in turn. */
public final class RoundRobin implements Picker {
    private int next;

    @Override
    public ServerSpec pick(List<ServerSpec> candidates, Map<String, Integer> inFlight) {
        return candidates.get(next++ % candidates.size());
    }
}
