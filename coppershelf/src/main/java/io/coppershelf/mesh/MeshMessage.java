package io.coppershelf.mesh;

import io.coppershelf.belief.Observation;
import io.coppershelf.catalog.BackendServer;
import java.util.List;

/** A message between VMs of the fleet. */
public sealed interface MeshMessage {
    /**
     * Who is there.
     *
     * @param members the sender first, then others
     * @param wantsReply whether the sender wants to hear what the receiver knows
     */
    record Members(List<MemberEntry> members, boolean wantsReply) implements MeshMessage {}

    /**
     * The outcome of a request at a server.
     *
     * @param serverKey the server and its incarnation
     */
    record Evidence(String serverKey, Observation observation) implements MeshMessage {}

    /**
     * The requests that the sender has at servers.
     *
     * @param serverCodes numbers that stand for the servers
     * @param inFlight the requests at each of them
     */
    record Load(List<Long> serverCodes, List<Integer> inFlight) implements MeshMessage {}

    /**
     * What the sender read from the platform.
     *
     * @param since the revision that the changes follow
     * @param revision the revision that was reached
     * @param configurationRevision the revision of the newest configuration
     * @param ageMillis the time since the reading
     * @param changed servers that are new or report something else
     * @param removed ids of servers that are gone
     */
    record CatalogNews(
            long since,
            long revision,
            long configurationRevision,
            int ageMillis,
            List<BackendServer> changed,
            List<String> removed)
            implements MeshMessage {}
}
