package io.coppershelf.bench.decisions.baseline;

import io.coppershelf.ticket.ServerSpec;
import java.util.Collection;
import java.util.Set;

/** Never ejects a server. */
public final class NoDetector implements Detector {
    @Override
    public void onAttemptEnded(String server, boolean failed, long nowNanos) {}

    @Override
    public void onProbeEnded(String server, boolean answered) {}

    @Override
    public Set<String> ejected(Collection<ServerSpec> servers, long nowNanos) {
        return Set.of();
    }
}
