package io.coppershelf.admission;

import static com.google.common.truth.Truth.assertThat;
import static io.coppershelf.admission.GroupDriver.READ;
import static io.coppershelf.admission.GroupDriver.SERVICE_TIME;
import static io.coppershelf.admission.GroupDriver.server;

import io.coppershelf.admission.GroupAction.CancelOnServer;
import io.coppershelf.admission.GroupAction.Dispatch;
import io.coppershelf.admission.GroupAction.QueryReachability;
import io.coppershelf.admission.GroupAction.ReleaseGrant;
import io.coppershelf.admission.GroupAction.RequestGrant;
import io.coppershelf.admission.GroupEvent.GrantReceived;
import io.coppershelf.admission.GroupEvent.GrantRevoked;
import io.coppershelf.admission.GroupEvent.ProbeEnded;
import io.coppershelf.admission.GroupEvent.ReachabilityReported;
import io.coppershelf.admission.GroupEvent.Tick;
import io.coppershelf.backend.BackendResult.ServerState;
import io.coppershelf.health.ServerCondition;
import io.coppershelf.outcome.ErrorKind;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ServerGroupHealthTest {
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Duration DEADLINE = Duration.ofSeconds(10);

    private final GroupDriver driver = new GroupDriver();

    @BeforeEach
    void recordTypicalTimes() {
        driver.configure(server("a", 2, false), server("b", 2, false), server("c", 2, false));
        driver.serve().load(READ, Duration.ofSeconds(2)).advance(SECOND);
    }

    @Test
    void suspectsAStalledServerAndRequestsItsEjectionBeforeAnyAnswerIsOverdue() {
        driver.stall("a").load(READ, SECOND);
        assertThat(condition("a")).isEqualTo(ServerCondition.SUSPECTED);
        assertThat(driver.all(QueryReachability.class)).contains(new QueryReachability("a"));
        assertThat(driver.all(RequestGrant.class)).isEmpty();
        driver.send(new ProbeEnded("a", Optional.of(ServerState.READY))).load(READ, SECOND);
        assertThat(driver.all(RequestGrant.class)).containsExactly(new RequestGrant("a", "stalled"));
    }

    @Test
    void cancelsOverdueIdempotentAttemptsOnAnUnhealthyServer() {
        driver.stall("a").load(READ, SECOND.multipliedBy(2));
        assertThat(driver.all(CancelOnServer.class)).isNotEmpty();
        assertThat(driver.all(CancelOnServer.class).stream()
                        .map(CancelOnServer::server)
                        .distinct())
                .containsExactly("a");
    }

    @Test
    void sendsNothingToAnEjectedServer() {
        eject("a", Duration.ofHours(1));
        assertThat(condition("a")).isEqualTo(ServerCondition.EJECTED);
        driver.load(READ, SECOND);
        assertThat(driver.all(Dispatch.class).stream().map(Dispatch::server).distinct())
                .containsExactly("b", "c");
    }

    @Test
    void returnsToSuspicionWhenTheGrantExpires() {
        eject("a", Duration.ofSeconds(4));
        driver.advance(Duration.ofSeconds(4));
        assertThat(condition("a")).isEqualTo(ServerCondition.SUSPECTED);
    }

    @Test
    void returnsToSuspicionWhenTheGrantIsRevoked() {
        eject("a", Duration.ofSeconds(4));
        driver.send(new GrantRevoked("a"));
        assertThat(condition("a")).isEqualTo(ServerCondition.SUSPECTED);
    }

    @Test
    void renewsTheGrantBeforeItExpires() {
        eject("a", Duration.ofSeconds(4));
        driver.advance(Duration.ofSeconds(3));
        assertThat(driver.all(RequestGrant.class)).isNotEmpty();
    }

    @Test
    void returnsToServiceAfterAnswersAtNormalSpeedInProbation() {
        eject("a", Duration.ofHours(1));
        driver.recover("a").advance(Duration.ofSeconds(6));
        assertThat(condition("a")).isEqualTo(ServerCondition.PROBATION);
        driver.load(READ, Duration.ofSeconds(5));
        assertThat(driver.all(ReleaseGrant.class)).containsExactly(new ReleaseGrant("a"));
        assertThat(condition("a")).isEqualTo(ServerCondition.IN_SERVICE);
    }

    @Test
    void ejectsAgainAServerThatFailsItsProbation() {
        eject("a", Duration.ofHours(1));
        driver.advance(Duration.ofSeconds(6)).load(READ, Duration.ofSeconds(2));
        long trials = driver.all(Dispatch.class).stream()
                .filter(sent -> sent.server().equals("a"))
                .count();
        assertThat(trials).isEqualTo(1);
        assertThat(condition("a")).isEqualTo(ServerCondition.EJECTED);
    }

    @Test
    void avoidsButDoesNotEjectAServerThatOnlyThisVmCannotReach() {
        driver.stall("a").load(READ, SECOND);
        driver.send(new ProbeEnded("a", Optional.empty()));
        driver.send(new ReachabilityReported("a", true));
        driver.load(READ, Duration.ofSeconds(4));
        assertThat(driver.all(RequestGrant.class)).isEmpty();
        assertThat(driver.all(Dispatch.class).stream().map(Dispatch::server).distinct())
                .containsExactly("b", "c");
        assertThat(driver.status("a").reason()).isEqualTo("unreachable from this VM");
    }

    @Test
    void requestsEjectionOfAServerThatOthersCannotReachEither() {
        GroupDriver manual = new GroupDriver();
        manual.configure(server("a", 2, false), server("b", 2, false));
        for (int failure = 0; failure < 20; failure++) {
            manual.request(READ, 1, DEADLINE);
            Dispatch sent = manual.all(Dispatch.class).get(0);
            if (sent.server().equals("a")) {
                manual.fail(sent.attemptId(), ErrorKind.NO_SERVER, ServerState.UNSTATED);
            } else {
                manual.answer(sent.attemptId());
            }
        }
        assertThat(manual.status("a").condition()).isEqualTo(ServerCondition.SUSPECTED);
        manual.send(new ReachabilityReported("a", false));
        assertThat(manual.all(RequestGrant.class))
                .containsExactly(new RequestGrant("a", "unreachable from several VMs"));
    }

    @Test
    void doesNotCountItsOwnPauseAsEvidence() {
        List<String> attempts = new ArrayList<>();
        driver.stall("a").stall("b").stall("c");
        for (int request = 0; request < 6; request++) {
            attempts.add(driver.request(READ, 1, DEADLINE));
        }
        driver.now += Duration.ofSeconds(30).toNanos();
        attempts.forEach(attemptId -> driver.fail(attemptId, ErrorKind.DEADLINE_PASSED, ServerState.UNSTATED));
        driver.send(new Tick());
        assertThat(conditions()).containsExactly(ServerCondition.IN_SERVICE);
    }

    @Test
    void requestsNoEjectionWhileAllServersAreSuspected() {
        driver.stall("a").stall("b").stall("c").load(READ, SECOND);
        List.of("a", "b", "c").forEach(name -> driver.send(new ProbeEnded(name, Optional.of(ServerState.READY))));
        assertThat(driver.all(RequestGrant.class)).isEmpty();
        assertThat(conditions()).containsExactly(ServerCondition.SUSPECTED);
    }

    @Test
    void doesNotCountRefusalsOfASheddingServerAsEvidence() {
        for (int refusal = 0; refusal < 40; refusal++) {
            String attemptId = driver.request(READ, 1, DEADLINE);
            driver.fail(attemptId, ErrorKind.SERVER_REFUSED, ServerState.SHEDDING)
                    .advance(SERVICE_TIME);
        }
        assertThat(conditions()).containsExactly(ServerCondition.IN_SERVICE);
    }

    @Test
    void suspectsAServerThatFailsOneRouteOnly() {
        for (int round = 0; round < 20; round++) {
            String attemptId = driver.request(READ, 1, DEADLINE);
            boolean unhealthy = driver.all(Dispatch.class).get(0).server().equals("a");
            driver.answer(attemptId, unhealthy ? 500 : 200, ServerState.READY);
        }
        assertThat(condition("a")).isEqualTo(ServerCondition.SUSPECTED);
        assertThat(driver.status("a").reason()).isEqualTo("errors");
    }

    @Test
    void releasesAGrantThatItDoesNotNeed() {
        driver.send(new GrantReceived("b", driver.now + DEADLINE.toNanos()));
        assertThat(driver.all(ReleaseGrant.class)).containsExactly(new ReleaseGrant("b"));
    }

    private void eject(String name, Duration grantDuration) {
        driver.stall(name).load(READ, SECOND);
        driver.send(new ProbeEnded(name, Optional.of(ServerState.READY))).load(READ, SECOND);
        driver.send(new GrantReceived(name, driver.now + grantDuration.toNanos()));
    }

    private ServerCondition condition(String name) {
        return driver.status(name).condition();
    }

    private List<ServerCondition> conditions() {
        return driver.group.status(driver.now).servers().stream()
                .map(GroupStatus.ServerStatus::condition)
                .distinct()
                .toList();
    }
}
