package io.coppershelf.bench.decisions.baseline;

import io.coppershelf.ticket.ServerSpec;
import java.util.Collection;
import java.util.Set;

/** Decides which servers are ejected. */
public interface Detector {
    /** Takes in how a try ended. */
    void ended(String server, boolean failed, long nowNanos);

    /** Takes in how a probe ended. */
    void probed(String server, boolean answered);

    /** Returns the servers that are ejected now. */
    Set<String> ejected(Collection<ServerSpec> servers, long nowNanos);
}
