package io.coppershelf.bench.decisions.baseline;

import io.coppershelf.ticket.ServerSpec;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Ejects a server after five errors or timeouts in a row. */
public final class ConsecutiveErrors implements Detector {
    private static final int MAX_ERRORS = 5;

    private final Map<String, Integer> errors = new HashMap<>();
    private final TimedEjections ejections = new TimedEjections();

    @Override
    public void onAttemptEnded(String server, boolean failed, long nowNanos) {
        errors.merge(server, failed ? 1 : 0, (old, one) -> failed ? old + one : 0);
    }

    @Override
    public void onProbeEnded(String server, boolean answered) {}

    @Override
    public Set<String> ejected(Collection<ServerSpec> servers, long nowNanos) {
        errors.forEach((server, count) -> {
            if (count >= MAX_ERRORS) {
                ejections.eject(server, servers.size(), nowNanos);
            }
        });
        errors.values().removeIf(count -> count >= MAX_ERRORS);
        return ejections.ejected(nowNanos);
    }
}
