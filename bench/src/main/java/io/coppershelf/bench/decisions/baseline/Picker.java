package io.coppershelf.bench.decisions.baseline;

import io.coppershelf.ticket.ServerSpec;
import java.util.List;
import java.util.Map;

/** Picks a server. */
public interface Picker {
    /**
     * Returns the server for the next try.
     *
     * @param candidates the servers that may take it, at least one
     * @param inFlight the tries that this group has on each server
     */
    ServerSpec pick(List<ServerSpec> candidates, Map<String, Integer> inFlight);
}
