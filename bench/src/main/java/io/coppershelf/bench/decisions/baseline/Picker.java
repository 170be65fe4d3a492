package io.coppershelf.bench.decisions.baseline;

import io.coppershelf.ticket.ServerSpec;
import java.util.List;
import java.util.Map;

/** Picks the server for an attempt. */
public interface Picker {
    /**
     * Returns the server for the next attempt.
     *
     * @param candidates the servers to which the attempt may be sent, at least one
     * @param inFlight the number of attempts of this group in flight on each server
     */
    ServerSpec pick(List<ServerSpec> candidates, Map<String, Integer> inFlight);
}
