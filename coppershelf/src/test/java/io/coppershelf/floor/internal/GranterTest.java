package io.coppershelf.floor.internal;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.floor.internal.FloorMessage.GrantRelease;
import io.coppershelf.floor.internal.FloorMessage.GrantRequest;
import io.coppershelf.floor.internal.FloorMessage.GrantResult;
import io.coppershelf.floor.internal.FloorMessage.OutOfServiceReport;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A granter counts rights exactly, and takes over those of a former one. */
class GranterTest {
    private static final VoterSet SET = new VoterSet(List.of("a", "b", "c", "d", "e"));
    private static final ServiceRules RULES = new ServiceRules(5, 2, Set.of());
    private static final long TAKEOVER = FloorTiming.issuerNanos(FloorTiming.GRANT_DURATION);

    private final Granter granter = new Granter();

    @BeforeEach
    void winLease() {
        granter.lease().changeVoters(SET);
        vote(0);
    }

    private void vote(long now) {
        long round = granter.lease().startRound(now);
        List.of("a", "b", "c", "d").forEach(voter -> granter.lease().onVote(voter, round, now));
    }

    private GrantResult ask(String server, long sequence, boolean live, long ticket, int allowance, long now) {
        return granter.decide("h", new GrantRequest("s", server, sequence, live, ticket, allowance), RULES, now);
    }

    private GrantResult ask(String server, boolean live, long now) {
        return ask(server, 1, live, 5, 2, now);
    }

    private void keepLeaseUntil(long now) {
        for (long at = 0; at <= now; at += FloorTiming.LEASE_RENEWAL.toNanos()) {
            vote(at);
        }
        vote(now);
    }

    @Test
    void renewsOnlyLiveRightsWhileItTakesOver() {
        keepLeaseUntil(TAKEOVER);
        assertThat(ask("s-1", false, TAKEOVER - 1)).isEqualTo(GrantResult.REFUSED);
        assertThat(ask("s-2", true, TAKEOVER - 1)).isEqualTo(GrantResult.GRANTED);
        assertThat(ask("s-1", false, TAKEOVER)).isEqualTo(GrantResult.GRANTED);
        assertThat(ask("s-3", false, TAKEOVER)).isEqualTo(GrantResult.REFUSED);
    }

    @Test
    void lateRenewalOfALapsedRightDoesNotBringANewOneWhileItTakesOver() {
        assertThat(ask("s-1", true, 1)).isEqualTo(GrantResult.GRANTED);
        assertThat(ask("s-1", false, 2)).isEqualTo(GrantResult.REFUSED);
    }

    @Test
    void grantsNothingWithoutAQuorumOrAfterItsLease() {
        long over = FloorTiming.LEASE_DURATION.toNanos();
        assertThat(ask("s-1", true, over - 1)).isEqualTo(GrantResult.GRANTED);
        assertThat(ask("s-1", true, over)).isEqualTo(GrantResult.NOT_GRANTER);
        long round = granter.lease().startRound(over);
        List.of("a", "b", "c", "a", "x").forEach(voter -> granter.lease().onVote(voter, round, over));
        assertThat(ask("s-1", true, over)).isEqualTo(GrantResult.NOT_GRANTER);
        granter.lease().onVote("d", round - 1, over);
        assertThat(ask("s-1", true, over)).isEqualTo(GrantResult.NOT_GRANTER);
    }

    @Test
    void takesTheSmallerAllowanceAndRefusesARequestOfANewerTicket() {
        keepLeaseUntil(TAKEOVER);
        assertThat(ask("s-1", 1, false, 6, 9, TAKEOVER)).isEqualTo(GrantResult.REFUSED);
        assertThat(ask("s-1", 1, false, 5, 0, TAKEOVER)).isEqualTo(GrantResult.REFUSED);
        assertThat(ask("s-1", 1, false, 4, 0, TAKEOVER)).isEqualTo(GrantResult.GRANTED);
    }

    @Test
    void lateReleaseDoesNotTouchALaterRight() {
        keepLeaseUntil(TAKEOVER);
        ask("s-1", 7, false, 5, 2, TAKEOVER);
        ask("s-2", 8, false, 5, 2, TAKEOVER);
        granter.onRelease("h", new GrantRelease("s", "s-1", 6));
        assertThat(ask("s-3", 9, false, 5, 2, TAKEOVER)).isEqualTo(GrantResult.REFUSED);
        granter.onRelease("h", new GrantRelease("s", "s-1", 7));
        assertThat(ask("s-3", 9, false, 5, 2, TAKEOVER)).isEqualTo(GrantResult.GRANTED);
    }

    @Test
    void reportedServersCountOnceAndForALimitedTime() {
        keepLeaseUntil(TAKEOVER);
        granter.onReport("x", new OutOfServiceReport("s", List.of("s-1", "s-2")), TAKEOVER);
        granter.onReport("y", new OutOfServiceReport("s", List.of("s-1", "s-2")), TAKEOVER);
        assertThat(granter.outOfServiceCount(RULES, TAKEOVER)).isEqualTo(2);
        assertThat(ask("s-3", false, TAKEOVER)).isEqualTo(GrantResult.REFUSED);
        assertThat(ask("s-1", false, TAKEOVER)).isEqualTo(GrantResult.GRANTED);
        granter.onReport("x", new OutOfServiceReport("s", List.of()), TAKEOVER);
        long over = TAKEOVER + FloorTiming.REPORT_DURATION.toNanos();
        assertThat(granter.outOfServiceCount(RULES, over)).isEqualTo(0);
    }

    @Test
    void namesTheRightsThatANewTicketDoesNotAllow() {
        keepLeaseUntil(TAKEOVER);
        ask("s-1", false, TAKEOVER);
        ask("s-2", false, TAKEOVER);
        ServiceRules raised = new ServiceRules(6, 1, Set.of());
        assertThat(granter.excess(raised, TAKEOVER)).containsExactly(new GrantTable.Grant("s-1", "h"));
    }
}
