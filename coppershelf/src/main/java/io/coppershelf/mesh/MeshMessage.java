package io.coppershelf.mesh;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.CatalogChange;
import io.coppershelf.catalog.CatalogRevision;
import io.coppershelf.catalog.ServerList;
import io.coppershelf.health.estimate.Observation;
import io.coppershelf.poison.RequestFingerprint;
import io.coppershelf.quota.QuotaMessage;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** A message between VMs of the fleet. */
public sealed interface MeshMessage {
    /** A message of a type that only other builds know. */
    record Unknown(int type) implements MeshMessage {}

    /**
     * The members of the fleet that the sender knows.
     *
     * @param members the sender first, then others
     * @param isReplyRequested whether the sender requests the members that the receiver knows
     */
    record Members(List<MemberEntry> members, boolean isReplyRequested) implements MeshMessage {}

    /**
     * The outcome of a request at a server.
     *
     * @param serverKey the server and its incarnation
     */
    record ServerObservation(String serverKey, Observation observation) {}

    /**
     * What the sender knows from its own requests.
     *
     * @param serverCodes the hashes that identify servers
     * @param inFlight the number of requests that the sender has in flight at each of them
     * @param observations outcomes of its requests, the oldest first
     */
    record ServerReport(List<Long> serverCodes, List<Integer> inFlight, List<ServerObservation> observations)
            implements MeshMessage {}

    /**
     * What the VMs of the sender's data centre know of its servers, or what the sender knows of all servers if the
     * receiver has requested it.
     *
     * @param serverCodes the hashes that identify the servers
     * @param inFlight the number of requests that all VMs have in flight at each of them
     * @param unhealthyPerMille the probability that each of them is unhealthy, in thousandths
     */
    record ServerSummary(List<Long> serverCodes, List<Integer> inFlight, List<Integer> unhealthyPerMille)
            implements MeshMessage {}

    /** A request for what the receiver knows of the servers, as summaries; from a VM that has just started. */
    record SummaryRequest() implements MeshMessage {}

    /**
     * An announcement of a server that it leaves, which the sender has received.
     *
     * @param serverKey the server and its incarnation
     */
    record ServerLeaving(String serverKey) implements MeshMessage {}

    /**
     * A limit that a server names in its answers, which the sender has received.
     *
     * @param serverKey the server and its incarnation
     * @param perSecond the requests a second that it accepts from all VMs together, empty if it names no limit any more
     */
    record ServerLimit(String serverKey, Optional<Double> perSecond) implements MeshMessage {}

    /** A message about the tokens of a tenant; earlier builds ignore it. */
    record Tokens(QuotaMessage message) implements MeshMessage {}

    /** Fingerprints of requests under which servers crashed, more specific ones first. */
    record RequestCrashes(List<RequestCrash> requests) implements MeshMessage {}

    /**
     * A fingerprint of requests under which servers crashed.
     *
     * @param minVariants the number of different requests that must have been at these servers for a quarantine
     * @param variants the hashes of the requests
     * @param serverCodes the hashes that identify the servers
     * @param crashedMillis the time since the last crash
     */
    record RequestCrash(
            RequestFingerprint request,
            int minVariants,
            List<Long> variants,
            List<Long> serverCodes,
            long crashedMillis) {}

    /**
     * A request that a server has completed, so that it did not crash the servers on which it was in flight.
     *
     * @param fingerprints the fingerprints of the request
     */
    record RequestCleared(List<RequestFingerprint> fingerprints) implements MeshMessage {}

    /**
     * The changes that the sender read from the platform.
     *
     * @param since the revision that the changes follow
     * @param revision the revision that was reached
     * @param configurationVersion the version of the newest configuration
     * @param ageMillis the time since the reading
     * @param changed servers that are new or whose report has changed
     * @param removed ids of servers whose registration was removed; those that registered again are among the changed
     */
    record CatalogUpdate(
            CatalogRevision since,
            CatalogRevision revision,
            long configurationVersion,
            int ageMillis,
            List<BackendServer> changed,
            List<String> removed)
            implements MeshMessage {
        /**
         * Returns the update for the other VMs after a reading: it holds the changes that matter for routing and
         * confirms that the rest is unchanged. A receiver may have had any revision in between, so a server that was
         * removed and registered again has changed.
         *
         * @param before the list that the changes follow
         */
        static CatalogUpdate of(ServerList before, CatalogChange change, long configurationVersion) {
            List<BackendServer> changed = change.changed().stream()
                    .filter(server -> change.removed().contains(server.id())
                            || before.server(server.id())
                                    .filter(known -> known.isSameForRouting(server))
                                    .isEmpty())
                    .toList();
            return new CatalogUpdate(
                    change.since(), change.revision(), configurationVersion, 0, changed, List.copyOf(change.removed()));
        }

        /** Returns the change of the list of servers. */
        CatalogChange change() {
            return new CatalogChange(since, revision, Optional.empty(), changed, Set.copyOf(removed));
        }
    }
}
