package io.coppershelf.bench.decisions.baseline;

import io.coppershelf.ticket.ServerSpec;
import java.util.Collection;
import java.util.Set;

/** Detects unhealthy servers and ejects them. */
public interface Detector {
    /** Records the end of an attempt. */
    void onAttemptEnded(String server, boolean failed, long nowNanos);

    /** Records the end of a probe. */
    void onProbeEnded(String server, boolean answered);

    /** Returns the servers that are ejected at the given time. */
    Set<String> ejected(Collection<ServerSpec> servers, long nowNanos);
}
