package io.coppershelf.floor.internal;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.floor.internal.FloorAction.Granted;
import io.coppershelf.floor.internal.FloorAction.Refused;
import io.coppershelf.floor.internal.FloorAction.Revoked;
import io.coppershelf.floor.internal.FloorAction.Send;
import io.coppershelf.floor.internal.FloorMessage.GrantReply;
import io.coppershelf.floor.internal.FloorMessage.GrantRequest;
import io.coppershelf.floor.internal.FloorMessage.GrantResult;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests that a holder counts its grants from before the request was sent and ends them in time. */
class GrantHolderTest {
    private static final VoterSet SET = new VoterSet(List.of("a", "b", "c"));
    private static final ServiceRules RULES = new ServiceRules(1, 3, Set.of());
    private static final long GRANT_NANOS = FloorTiming.GRANT_DURATION.toNanos();
    private static final long RENEWAL_NANOS = FloorTiming.GRANT_RENEWAL.toNanos();
    private static final long TIMEOUT_NANOS = FloorTiming.REPLY_TIMEOUT.toNanos();

    private final GrantHolder holder = new GrantHolder(1);

    private GrantRequest requestGrant(long now) {
        return request(holder.request("s", "s-1", SET, RULES, now));
    }

    private static GrantRequest request(List<FloorAction> actions) {
        return (GrantRequest) ((Send) actions.get(0)).message();
    }

    private List<FloorAction> reply(GrantRequest request, GrantResult result, long now) {
        return holder.onReply("a", new GrantReply("s", "s-1", request.sequence(), result, ""), now);
    }

    @Test
    void countsADelayedGrantFromBeforeTheRequest() {
        assertThat(reply(requestGrant(0), GrantResult.GRANTED, GRANT_NANOS - 1))
                .containsExactly(new Granted("s", "s-1", GRANT_NANOS));
        assertThat(holder.isLive("s", "s-1", GRANT_NANOS)).isFalse();
    }

    @Test
    void ignoresAGrantThatHasExpired() {
        assertThat(reply(requestGrant(0), GrantResult.GRANTED, GRANT_NANOS)).containsExactly(new Refused("s", "s-1"));
    }

    @Test
    void renewalDoesNotExtendAnExpiredGrant() {
        assertThat(reply(requestGrant(0), GrantResult.GRANTED, 1)).hasSize(1);
        GrantRequest renewal = requestGrant(RENEWAL_NANOS);
        assertThat(renewal.live()).isTrue();
        assertThat(reply(renewal, GrantResult.GRANTED, GRANT_NANOS)).containsExactly(new Refused("s", "s-1"));
    }

    @Test
    void ignoresRepliesToEarlierRequestsAndAfterRelease() {
        GrantRequest first = requestGrant(0);
        GrantRequest second = request(holder.onTick(service -> SET, TIMEOUT_NANOS));
        assertThat(reply(first, GrantResult.GRANTED, TIMEOUT_NANOS)).isEmpty();
        assertThat(holder.release("s", "s-1", SET)).hasSize(3);
        assertThat(reply(second, GrantResult.GRANTED, TIMEOUT_NANOS)).isEmpty();
        assertThat(holder.liveGrants(TIMEOUT_NANOS)).isEqualTo(0);
    }

    @Test
    void sendsToTheNextVmAfterATimeoutAndRefusesAfterTheLast() {
        assertThat(((Send) holder.request("s", "s-1", SET, RULES, 0).get(0)).target())
                .isEqualTo("a");
        assertThat(((Send) holder.onTick(service -> SET, TIMEOUT_NANOS).get(0)).target())
                .isEqualTo("b");
        assertThat(((Send) holder.onTick(service -> SET, 2 * TIMEOUT_NANOS).get(0)).target())
                .isEqualTo("c");
        assertThat(holder.onTick(service -> SET, 3 * TIMEOUT_NANOS)).containsExactly(new Refused("s", "s-1"));
    }

    @Test
    void endsAGrantAtOnceWhenItsRenewalIsRefusedOrItExpiresOrTheAllowanceShrinks() {
        reply(requestGrant(0), GrantResult.GRANTED, 1);
        assertThat(reply(requestGrant(RENEWAL_NANOS), GrantResult.REFUSED, RENEWAL_NANOS))
                .containsExactly(new Revoked("s", "s-1"));
        reply(requestGrant(0), GrantResult.GRANTED, 1);
        assertThat(holder.onTick(service -> SET, GRANT_NANOS)).containsExactly(new Revoked("s", "s-1"));
        reply(requestGrant(0), GrantResult.GRANTED, 1);
        ServiceRules raised = new ServiceRules(2, 2, Set.of());
        assertThat(holder.onRules(service -> raised, service -> SET)).contains(new Revoked("s", "s-1"));
        assertThat(holder.liveGrants(1)).isEqualTo(0);
    }

    @Test
    void stopsRenewingAGrantThatIsNoLongerRequested() {
        reply(requestGrant(0), GrantResult.GRANTED, 1);
        assertThat(holder.onTick(service -> SET, RENEWAL_NANOS)).hasSize(1);
        GrantRequest renewal = request(holder.onTick(service -> SET, RENEWAL_NANOS + TIMEOUT_NANOS));
        reply(renewal, GrantResult.GRANTED, RENEWAL_NANOS + TIMEOUT_NANOS);
        assertThat(holder.onTick(service -> SET, GRANT_NANOS)).isEmpty();
    }
}
