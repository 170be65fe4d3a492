package io.coppershelf.mesh;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.CatalogChange;
import io.coppershelf.catalog.ServerList;
import io.coppershelf.health.estimate.Observation;
import java.util.List;
import java.util.Optional;
import java.util.Set;

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
    record ServerObservation(String serverKey, Observation observation) implements MeshMessage {}

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
    record CatalogUpdate(
            long since,
            long revision,
            long configurationRevision,
            int ageMillis,
            List<BackendServer> changed,
            List<String> removed)
            implements MeshMessage {
        /**
         * Returns what the fleet needs to hear of a reading: what matters for routing, and that the rest is unchanged.
         *
         * @param before the list that the change was applied to
         */
        static CatalogUpdate of(ServerList before, CatalogChange change, long configurationRevision) {
            List<BackendServer> changed = change.changed().stream()
                    .filter(server -> before.server(server.id())
                            .filter(known -> known.isSameForRouting(server))
                            .isEmpty())
                    .toList();
            return new CatalogUpdate(
                    change.since(),
                    change.revision(),
                    configurationRevision,
                    0,
                    changed,
                    List.copyOf(change.removed()));
        }

        /** Returns the change of the list of servers. */
        CatalogChange change() {
            return new CatalogChange(since, revision, Optional.empty(), changed, Set.copyOf(removed));
        }
    }
}
