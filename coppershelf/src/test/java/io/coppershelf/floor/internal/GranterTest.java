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

/** Tests that a granter issues grants only within the allowance, and renews those of a former granter. */
class GranterTest {
    private static final VoterSet SET = new VoterSet(List.of("a", "b", "c", "d", "e"));
    private static final ServiceRules RULES = new ServiceRules(5, 2, Set.of());
    private static final long TAKEOVER_NANOS = FloorTiming.issuerNanos(FloorTiming.GRANT_DURATION);

    private final Granter granter = new Granter();

    @BeforeEach
    void acquireLease() {
        granter.lease().changeVoters(SET);
        vote(0);
    }

    private void vote(long now) {
        long round = granter.lease().startRound(now);
        List.of("a", "b", "c", "d").forEach(voter -> granter.lease().onVote(voter, round, now));
    }

    private GrantResult request(String server, long sequence, boolean live, long ticket, int allowance, long now) {
        return granter.decide("h", new GrantRequest("s", server, sequence, live, ticket, allowance), RULES, now);
    }

    private GrantResult request(String server, boolean live, long now) {
        return request(server, 1, live, 5, 2, now);
    }

    private void renewLeaseUntil(long now) {
        for (long at = 0; at <= now; at += FloorTiming.LEASE_RENEWAL.toNanos()) {
            vote(at);
        }
        vote(now);
    }

    @Test
    void renewsOnlyLiveGrantsDuringTakeover() {
        renewLeaseUntil(TAKEOVER_NANOS);
        assertThat(request("s-1", false, TAKEOVER_NANOS - 1)).isEqualTo(GrantResult.REFUSED);
        assertThat(request("s-2", true, TAKEOVER_NANOS - 1)).isEqualTo(GrantResult.GRANTED);
        assertThat(request("s-1", false, TAKEOVER_NANOS)).isEqualTo(GrantResult.GRANTED);
        assertThat(request("s-3", false, TAKEOVER_NANOS)).isEqualTo(GrantResult.REFUSED);
    }

    @Test
    void entryOfAnExpiredGrantDoesNotAllowANewGrantDuringTakeover() {
        assertThat(request("s-1", true, 1)).isEqualTo(GrantResult.GRANTED);
        assertThat(request("s-1", false, 2)).isEqualTo(GrantResult.REFUSED);
    }

    @Test
    void grantsNothingWithoutAQuorumOrAfterTheLeaseExpires() {
        long expiry = FloorTiming.LEASE_DURATION.toNanos();
        assertThat(request("s-1", true, expiry - 1)).isEqualTo(GrantResult.GRANTED);
        assertThat(request("s-1", true, expiry)).isEqualTo(GrantResult.NOT_GRANTER);
        long round = granter.lease().startRound(expiry);
        List.of("a", "b", "c", "a", "x").forEach(voter -> granter.lease().onVote(voter, round, expiry));
        assertThat(request("s-1", true, expiry)).isEqualTo(GrantResult.NOT_GRANTER);
        granter.lease().onVote("d", round - 1, expiry);
        assertThat(request("s-1", true, expiry)).isEqualTo(GrantResult.NOT_GRANTER);
    }

    @Test
    void usesTheSmallerAllowanceAndRefusesARequestWithANewerTicket() {
        renewLeaseUntil(TAKEOVER_NANOS);
        assertThat(request("s-1", 1, false, 6, 9, TAKEOVER_NANOS)).isEqualTo(GrantResult.REFUSED);
        assertThat(request("s-1", 1, false, 5, 0, TAKEOVER_NANOS)).isEqualTo(GrantResult.REFUSED);
        assertThat(request("s-1", 1, false, 4, 0, TAKEOVER_NANOS)).isEqualTo(GrantResult.GRANTED);
    }

    @Test
    void delayedReleaseDoesNotRemoveALaterGrant() {
        renewLeaseUntil(TAKEOVER_NANOS);
        request("s-1", 7, false, 5, 2, TAKEOVER_NANOS);
        request("s-2", 8, false, 5, 2, TAKEOVER_NANOS);
        granter.onRelease("h", new GrantRelease("s", "s-1", 6));
        assertThat(request("s-3", 9, false, 5, 2, TAKEOVER_NANOS)).isEqualTo(GrantResult.REFUSED);
        granter.onRelease("h", new GrantRelease("s", "s-1", 7));
        assertThat(request("s-3", 9, false, 5, 2, TAKEOVER_NANOS)).isEqualTo(GrantResult.GRANTED);
    }

    @Test
    void reportedServersCountOnceAndUntilTheReportExpires() {
        renewLeaseUntil(TAKEOVER_NANOS);
        granter.onReport("x", new OutOfServiceReport("s", List.of("s-1", "s-2")), TAKEOVER_NANOS);
        granter.onReport("y", new OutOfServiceReport("s", List.of("s-1", "s-2")), TAKEOVER_NANOS);
        assertThat(granter.outOfServiceCount(RULES, TAKEOVER_NANOS)).isEqualTo(2);
        assertThat(request("s-3", false, TAKEOVER_NANOS)).isEqualTo(GrantResult.REFUSED);
        assertThat(request("s-1", false, TAKEOVER_NANOS)).isEqualTo(GrantResult.GRANTED);
        granter.onReport("x", new OutOfServiceReport("s", List.of()), TAKEOVER_NANOS);
        long expiry = TAKEOVER_NANOS + FloorTiming.REPORT_DURATION.toNanos();
        assertThat(granter.outOfServiceCount(RULES, expiry)).isEqualTo(0);
    }

    @Test
    void returnsTheGrantsThatANewTicketDoesNotAllow() {
        renewLeaseUntil(TAKEOVER_NANOS);
        request("s-1", false, TAKEOVER_NANOS);
        request("s-2", false, TAKEOVER_NANOS);
        ServiceRules raised = new ServiceRules(6, 1, Set.of());
        assertThat(granter.excess(raised, TAKEOVER_NANOS)).containsExactly(new GrantTable.Grant("s-1", "h"));
    }
}
