package io.coppershelf.dispatch;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.RequestKind;
import io.coppershelf.health.estimate.HealthEstimates;
import io.coppershelf.health.estimate.Observation;
import io.coppershelf.testing.Catalogs;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class ServerChooserTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final HealthEstimates estimates = new HealthEstimates();
    private final FleetLoad fleetLoad = new FleetLoad();
    private final IdleServerTracker idleServers = new IdleServerTracker();
    private final ServerChooser chooser = new ServerChooser(
            "here",
            estimates,
            fleetLoad,
            idleServers,
            new ServerLimits(),
            () -> new FleetPosition(0, 1),
            new Random(7));
    private final BackendServer near = Catalogs.server("near", "here");
    private final BackendServer far = Catalogs.server("far", "there");

    @Test
    void equalServersAreChosenInTheOwnDataCentre() {
        observeSuccesses(near);
        observeSuccesses(far);
        assertThat(chosen(RequestKind.ONCE)).hasValue(near);
    }

    @Test
    void unhealthyServerIsAvoidedEvenIfTheOtherIsRemote() {
        estimates.observe(near.key(), Observation.FAILURE, 0);
        assertThat(chosen(RequestKind.ONCE)).hasValue(far);
        assertThat(chosen(RequestKind.LARGE_ANSWER)).hasValue(far);
    }

    @Test
    void unhealthyServerIsStillChosenWhenItIsTheOnlyOne() {
        estimates.observe(near.key(), Observation.FAILURE, 0);
        assertThat(chooser.choose(List.of(near), RequestKind.ONCE, true, Set.of(), 0))
                .hasValue(near);
    }

    @Test
    void healthyServerGetsMoreThanItsSlotsBeforeAnUnhealthyOneIsUsed() {
        observeSuccesses(near);
        estimates.observe(far.key(), Observation.FAILURE, 0);
        chooser.stats(near).recordReportedLoad(7, 0);
        assertThat(chosen(RequestKind.ONCE)).hasValue(near);
        chooser.stats(near).recordReportedLoad(24, 0);
        assertThat(chosen(RequestKind.ONCE)).hasValue(far);
    }

    /** Guards against a new connection for nearly every request where VMs have many servers and few requests. */
    @Test
    void serverWithARecentlyUsedConnectionIsPreferredUntilItHasLoad() {
        BackendServer connected = Catalogs.server("connected", "here");
        List<BackendServer> servers = List.of(near, connected);
        chooser.preferReuse(kind -> SECOND);
        recordRequests(near);
        recordRequests(connected);
        chooser.stats(connected).recordIdleConnections(1, 0);
        for (int i = 0; i < 50; i++) {
            assertThat(chooser.choose(servers, RequestKind.ONCE, true, Set.of(), SECOND))
                    .hasValue(connected);
        }
        double newConnectionLoss = chooser.loss(connected, RequestKind.ONCE, true, 2 * SECOND)
                - chooser.loss(connected, RequestKind.ONCE, true, SECOND);
        assertThat(newConnectionLoss).isGreaterThan(0.0);
        chooser.stats(connected).recordReportedLoad(connected.slots() - 1, SECOND);
        assertThat(chooser.choose(servers, RequestKind.ONCE, true, Set.of(), SECOND))
                .hasValue(near);
    }

    @Test
    void serverThatAskedForAPauseIsNotChosenBeforeItsEnd() {
        chooser.stats(near).recordPause(2 * SECOND, 0);
        assertThat(chooser.choose(List.of(near), RequestKind.ONCE, true, Set.of(), SECOND))
                .isEmpty();
        assertThat(chooser.choose(List.of(near), RequestKind.ONCE, true, Set.of(), 2 * SECOND))
                .hasValue(near);
    }

    @Test
    void laterShorterPauseDoesNotShortenAnEarlierOne() {
        chooser.stats(near).recordPause(3 * SECOND, 0);
        chooser.stats(near).recordPause(SECOND, SECOND);
        assertThat(chooser.stats(near).remainingPauseNanos(2 * SECOND)).isEqualTo(SECOND);
    }

    /** Guards against callers that all return at the moment at which the first server accepts requests again. */
    @Test
    void callersAreSpreadAfterThePauseOfAWholeService() {
        chooser.stats(near).recordPause(2 * SECOND, 0);
        chooser.stats(far).recordPause(5 * SECOND, 0);
        Set<Duration> delays = new HashSet<>();
        for (int i = 0; i < 50; i++) {
            Duration delay = chooser.pause(List.of(near, far), 0).orElseThrow();
            assertThat(delay).isAtLeast(Duration.ofSeconds(2));
            assertThat(delay).isAtMost(Duration.ofSeconds(3));
            delays.add(delay);
        }
        assertThat(delays.size()).isAtLeast(40);
        assertThat(chooser.pause(List.of(near, far), 2 * SECOND)).isEmpty();
    }

    /** Guards against uploads that cross data centres at the price of a small answer. */
    @Test
    void uploadStaysInItsDataCentreWhereASmallRequestLeavesAFullServer() {
        observeSuccesses(near);
        observeSuccesses(far);
        chooser.stats(near).recordReportedLoad(6, 0);
        assertThat(chosen(RequestKind.ONCE)).hasValue(far);
        assertThat(chosen(RequestKind.LARGE_REQUEST)).hasValue(near);
    }

    @Test
    void requestsOfOtherVmsCountAsLoad() {
        observeSuccesses(near);
        observeSuccesses(far);
        for (int vm = 0; vm < 6; vm++) {
            fleetLoad.recordInFlight(vm, chooser.stats(near).code(), 1, 0);
        }
        assertThat(chosen(RequestKind.ONCE)).hasValue(far);
    }

    /**
     * Scenario: so many servers fail that the healthy ones are full; requests sent to unhealthy ones would use up the
     * retry budget.
     */
    @Test
    void repeatableRequestIsQueuedAtAFullServerRatherThanSentToAnUnhealthyOne() {
        observeSuccesses(near);
        for (int i = 0; i < 3; i++) {
            estimates.observe(far.key(), Observation.FAILURE, 0);
        }
        chooser.stats(near).recordReportedLoad(12, 0);
        assertThat(chosen(RequestKind.REPEATABLE)).hasValue(near);
    }

    @Test
    void serverWithoutARecentRequestIsUsed() {
        observeSuccesses(near);
        observeSuccesses(far);
        recordRequests(near);
        assertThat(chosen(RequestKind.ONCE)).hasValue(far);
    }

    /** A large answer between data centres costs more than the floor is worth; small answers keep the floor. */
    @Test
    void largeAnswersAreNotUsedToKeepTheFloor() {
        observeSuccesses(near);
        observeSuccesses(far);
        recordRequests(near);
        assertThat(chosen(RequestKind.LARGE_ANSWER)).hasValue(near);
    }

    /** Scenario: many servers of a service fail; requests sent to them to keep the floor would fail as well. */
    @Test
    void suspectedServerIsNotUsedToKeepTheFloor() {
        observeSuccesses(near);
        estimates.observe(far.key(), Observation.FAILURE, 0);
        recordRequests(near);
        assertThat(chosen(RequestKind.ONCE)).hasValue(near);
    }

    /** Guards against requests that are lost to find out whether an episode is over. */
    @Test
    void serverThatFailedIsTestedOnlyByRequestsThatCanBeRetried() {
        observeSuccesses(near);
        estimates.observe(far.key(), Observation.FAILURE, 0);
        idleServers.recordRequest(chooser.stats(near).code(), 2 * SECOND);
        assertThat(chooser.choose(List.of(far, near), RequestKind.REPEATABLE, false, Set.of(), 2 * SECOND))
                .hasValue(far);
        assertThat(chooser.choose(List.of(far, near), RequestKind.ONCE, true, Set.of(), 2 * SECOND))
                .hasValue(near);
        idleServers.recordRequest(chooser.stats(far).code(), 2 * SECOND);
        assertThat(chooser.choose(List.of(far, near), RequestKind.REPEATABLE, false, Set.of(), 2 * SECOND))
                .hasValue(near);
    }

    /** Guards against the loss of a request each time that a server's next episode begins. */
    @Test
    void requestThatCannotBeRetriedAvoidsAServerWithARecentEpisode() {
        for (int i = 0; i < 3; i++) {
            estimates.observe(near.key(), Observation.FAILURE, 0);
        }
        for (int i = 0; i < 20; i++) {
            observeSuccesses(near);
        }
        observeSuccesses(far);
        assertThat(chosen(RequestKind.ONCE)).hasValue(far);
        assertThat(chosen(RequestKind.REPEATABLE)).hasValue(near);
    }

    @Test
    void serverThatCouldNotBeReachedIsAvoidedForAWhile() {
        observeSuccesses(near);
        chooser.stats(near).recordPathFailure(0);
        assertThat(chosen(RequestKind.ONCE)).hasValue(far);
        assertThat(chooser.stats(near).isInBackoff(2 * SECOND)).isFalse();
    }

    @Test
    void newIncarnationStartsWithEmptyStatistics() {
        chooser.stats(near).recordPathFailure(0);
        BackendServer restarted = new BackendServer(
                near.id(), 2, near.service(), near.address(), near.dataCentre(), near.slots(), true, 0);
        assertThat(chooser.stats(restarted).isInBackoff(0)).isFalse();
        assertThat(chooser.stats(restarted)).isSameInstanceAs(chooser.stats(restarted));
    }

    @Test
    void excludedServersAreNotChosen() {
        assertThat(chooser.choose(List.of(near, far), RequestKind.ONCE, true, Set.of("near", "far"), 0))
                .isEmpty();
    }

    private void recordRequests(BackendServer server) {
        for (int i = 0; i < 20; i++) {
            idleServers.recordRequest(chooser.stats(server).code(), 0);
        }
    }

    private void observeSuccesses(BackendServer server) {
        for (int i = 0; i < 10; i++) {
            estimates.observe(server.key(), Observation.SUCCESS, 0);
        }
    }

    private Optional<BackendServer> chosen(RequestKind kind) {
        return chooser.choose(List.of(far, near), kind, !kind.isRepeatable(), Set.of(), 0);
    }
}
