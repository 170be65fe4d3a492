package io.coppershelf.bench.decisions.baseline;

import io.coppershelf.ticket.ServerSpec;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Ejects a server after two failed probes in a row, until the next successful one. */
public final class ProbesOnly implements Detector {
    private static final int MAX_FAILURES = 2;

    private final Map<String, Integer> failures = new HashMap<>();

    @Override
    public void onAttemptEnded(String server, boolean failed, long nowNanos) {}

    @Override
    public void onProbeEnded(String server, boolean answered) {
        failures.merge(server, 1, (old, one) -> answered ? 0 : old + one);
        if (answered) {
            failures.remove(server);
        }
    }

    @Override
    public Set<String> ejected(Collection<ServerSpec> servers, long nowNanos) {
        return servers.stream()
                .map(ServerSpec::name)
                .filter(server -> failures.getOrDefault(server, 0) >= MAX_FAILURES)
                .collect(Collectors.toSet());
    }
}
