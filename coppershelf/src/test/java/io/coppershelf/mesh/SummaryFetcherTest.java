package io.coppershelf.mesh;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.ServerList;
import io.coppershelf.eventlog.EventLog;
import io.coppershelf.health.estimate.Observation;
import io.coppershelf.testing.Catalogs;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Pattern: half of the VMs restart at once, and their first requests go to servers that the others know to be
 * unhealthy.
 */
final class SummaryFetcherTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final InetSocketAddress PEER = new InetSocketAddress("127.0.0.1", 1);
    private static final InetSocketAddress OTHER = new InetSocketAddress("127.0.0.1", 2);

    private final BackendServer sick = Catalogs.server("sick", "there");
    private final ServerList servers =
            ServerList.of(Catalogs.revision(1), List.of(sick, Catalogs.server("unobserved", "here")));
    private final List<MeshMessage> sent = new ArrayList<>();
    private final SummaryFetcher fetcher =
            new SummaryFetcher(() -> Optional.of(PEER), (receiver, message) -> sent.add(message));

    /** Guards against a restarted VM that learns only from its own lost requests which servers are unhealthy. */
    @Test
    void restartedVmKnowsUnhealthyServersOfAllDataCentresFromOneReply() {
        FleetObservations known = FleetObservations.create();
        known.observe(sick.key(), Observation.FAILURE, "vm", new StateChangeLog(EventLog.NONE), SECOND);
        known.observe(sick.key(), Observation.FAILURE, "vm", new StateChangeLog(EventLog.NONE), SECOND);
        FleetObservations restarted = FleetObservations.create();
        restarted.retain(servers);
        List<MeshMessage.ServerSummary> replies = ServerSummaries.complete(servers, known, (server, code) -> 0, SECOND);
        replies.forEach(reply -> restarted.recordSummary(reply, SECOND));
        assertThat(restarted.estimates().estimate(sick.key(), SECOND).isSuspected(SECOND))
                .isTrue();
        assertThat(restarted.estimates().isObserved("unobserved")).isFalse();
    }

    @Test
    void requestIsRepeatedUntilASummaryOfTheAskedVmArrives() {
        fetcher.requestIfMissing(servers, SECOND);
        fetcher.received(OTHER, new MeshMessage.ServerSummary(List.of(), List.of(), List.of()));
        fetcher.requestIfMissing(servers, SECOND);
        assertThat(sent).hasSize(2);
        fetcher.received(PEER, new MeshMessage.ServerSummary(List.of(), List.of(), List.of()));
        fetcher.requestIfMissing(servers, SECOND);
        assertThat(sent).hasSize(2);
    }

    @Test
    void vmThatRunsForLongOrKnowsNoServersRequestsNothing() {
        fetcher.requestIfMissing(servers, 6 * SECOND);
        fetcher.requestIfMissing(ServerList.EMPTY, SECOND);
        assertThat(sent).isEmpty();
    }

    @Test
    void vmWithoutObservationsRepliesNothing() {
        assertThat(ServerSummaries.complete(servers, FleetObservations.create(), (server, code) -> 0, SECOND))
                .isEmpty();
    }

    @Test
    void requestIsReadBack() throws Exception {
        assertThat(MeshCodec.decode(MeshCodec.encode(new MeshMessage.SummaryRequest())))
                .isEqualTo(new MeshMessage.SummaryRequest());
    }
}
