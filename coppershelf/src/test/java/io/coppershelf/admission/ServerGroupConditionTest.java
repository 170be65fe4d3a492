package io.coppershelf.admission;

import static com.google.common.truth.Truth.assertThat;
import static io.coppershelf.admission.GroupDriver.CLAIM;
import static io.coppershelf.admission.GroupDriver.READ;
import static io.coppershelf.admission.GroupDriver.server;

import io.coppershelf.admission.GroupAction.CancelOnServer;
import io.coppershelf.admission.GroupAction.ConditionChanged;
import io.coppershelf.admission.GroupAction.Dispatch;
import io.coppershelf.admission.GroupAction.Probe;
import io.coppershelf.admission.GroupAction.Refuse;
import io.coppershelf.admission.GroupAction.ShareServiceTimes;
import io.coppershelf.admission.GroupEvent.AttemptCancelled;
import io.coppershelf.admission.GroupEvent.GrantReceived;
import io.coppershelf.admission.GroupEvent.ProbeEnded;
import io.coppershelf.backend.BackendResult.ServerState;
import io.coppershelf.health.ServerCondition;
import io.coppershelf.outcome.ErrorKind;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ServerGroupConditionTest {
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final GroupDriver driver = new GroupDriver();

    @Test
    void drainsByTicketWithoutCancellingRunningAttempts() {
        driver.configure(server("a", 2, false), server("b", 2, false));
        driver.request(CLAIM, 1, SECOND);
        driver.configure(server("a", 2, true), server("b", 2, true));
        assertThat(driver.all(CancelOnServer.class)).isEmpty();
        assertThat(driver.status("a").condition()).isEqualTo(ServerCondition.DRAINING);
        driver.request(READ, 1, SECOND);
        assertThat(driver.all(Refuse.class).get(0).error()).isEqualTo(ErrorKind.NO_SERVER);
    }

    @Test
    void startsAServerColdWhenATicketEndsItsDrain() {
        driver.configure(server("a", 2, true));
        driver.configure(server("a", 2, false));
        assertThat(driver.all(ConditionChanged.class))
                .containsExactly(new ConditionChanged(
                        "a", ServerCondition.DRAINING, ServerCondition.COLD, "back after a drain"));
    }

    @Test
    void keepsAServerDrainingWhenAProbeLagsBehindItsOwnReport() {
        driver.configure(server("a", 2, false));
        driver.send(new ProbeEnded("a", Optional.of(ServerState.DRAINING)));
        driver.advance(Duration.ofSeconds(6));
        assertThat(driver.all(Probe.class)).contains(new Probe("a"));
        driver.send(new ProbeEnded("a", Optional.of(ServerState.READY)));
        assertThat(driver.status("a").condition()).isEqualTo(ServerCondition.DRAINING);
        driver.advance(Duration.ofSeconds(5)).send(new ProbeEnded("a", Optional.of(ServerState.READY)));
        assertThat(driver.status("a").condition()).isEqualTo(ServerCondition.COLD);
    }

    @Test
    void rampsUpAServerThatIsAddedOrReportsItselfCold() {
        driver.configure(server("a", 6, false));
        driver.configure(server("a", 6, false), server("b", 6, false));
        assertThat(driver.status("a").condition()).isEqualTo(ServerCondition.IN_SERVICE);
        assertThat(driver.status("b").condition()).isEqualTo(ServerCondition.COLD);
        assertThat(driver.group.status(driver.now).freeSlots()).isEqualTo(8);
        driver.send(new ProbeEnded("a", Optional.of(ServerState.COLD)));
        assertThat(driver.group.status(driver.now).freeSlots()).isEqualTo(4);
        driver.send(new ProbeEnded("a", Optional.of(ServerState.READY))).advance(Duration.ofSeconds(11));
        assertThat(driver.status("a").condition()).isEqualTo(ServerCondition.IN_SERVICE);
        assertThat(driver.group.status(driver.now).freeSlots()).isEqualTo(12);
    }

    @Test
    void refusesACancelledQueuedRequestAndCancelsARunningOneOnItsServer() {
        driver.configure(server("a", 1, false));
        String running = driver.request(CLAIM, 1, SECOND);
        String queued = driver.request(CLAIM, 1, SECOND);
        driver.send(new AttemptCancelled(queued));
        assertThat(driver.all(Refuse.class))
                .containsExactly(new Refuse(queued, ErrorKind.DEADLINE_BEFORE_RUN, Duration.ZERO));
        driver.send(new AttemptCancelled(running));
        assertThat(driver.all(CancelOnServer.class)).containsExactly(new CancelOnServer(running, "a"));
        assertThat(driver.all(Dispatch.class)).isEmpty();
    }

    @Test
    void sendsNoNonIdempotentRequestToAServerInProbation() {
        driver.configure(server("a", 2, false), server("b", 6, false));
        driver.serve().load(READ, SECOND).stall("a").load(READ, SECOND);
        driver.send(new ProbeEnded("a", Optional.of(ServerState.READY))).load(READ, SECOND);
        driver.send(new GrantReceived("a", driver.now + Duration.ofHours(1).toNanos()));
        driver.recover("a").advance(Duration.ofSeconds(6));
        assertThat(driver.status("a").condition()).isEqualTo(ServerCondition.PROBATION);
        driver.load(CLAIM, Duration.ofSeconds(3));
        assertThat(driver.all(Dispatch.class).stream().map(Dispatch::server).distinct())
                .containsExactly("b");
        driver.load(CLAIM, Duration.ofSeconds(28));
        assertThat(driver.status("a").condition()).isEqualTo(ServerCondition.IN_SERVICE);
    }

    @Test
    void sharesTypicalServiceTimesWithOtherOwners() {
        driver.configure(server("a", 6, false)).serve().load(READ, Duration.ofSeconds(2));
        assertThat(driver.all(ShareServiceTimes.class)).isNotEmpty();
        assertThat(driver.all(ShareServiceTimes.class).get(0).typicalNanos()).containsKey(READ);
    }
}
