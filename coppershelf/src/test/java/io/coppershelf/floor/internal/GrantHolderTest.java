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

/** A holder counts its rights from before it asked and ends them in time. */
class GrantHolderTest {
    private static final VoterSet SET = new VoterSet(List.of("a", "b", "c"));
    private static final ServiceRules RULES = new ServiceRules(1, 3, Set.of());
    private static final long GRANT = FloorTiming.GRANT_DURATION.toNanos();
    private static final long RENEWAL = FloorTiming.GRANT_RENEWAL.toNanos();
    private static final long TIMEOUT = FloorTiming.ANSWER_TIMEOUT.toNanos();

    private final GrantHolder holder = new GrantHolder(1);

    private GrantRequest ask(long now) {
        return request(holder.request("s", "s-1", SET, RULES, now));
    }

    private static GrantRequest request(List<FloorAction> actions) {
        return (GrantRequest) ((Send) actions.get(0)).message();
    }

    private List<FloorAction> reply(GrantRequest to, GrantResult verdict, long now) {
        return holder.onReply("a", new GrantReply("s", "s-1", to.sequence(), verdict, ""), now);
    }

    @Test
    void countsALateGrantFromBeforeTheRequest() {
        assertThat(reply(ask(0), GrantResult.GRANTED, GRANT - 1)).containsExactly(new Granted("s", "s-1", GRANT));
        assertThat(holder.isLive("s", "s-1", GRANT)).isFalse();
    }

    @Test
    void takesNoGrantThatIsOver() {
        assertThat(reply(ask(0), GrantResult.GRANTED, GRANT)).containsExactly(new Refused("s", "s-1"));
    }

    @Test
    void renewalDoesNotProlongARightThatHasLapsed() {
        assertThat(reply(ask(0), GrantResult.GRANTED, 1)).hasSize(1);
        GrantRequest renewal = ask(RENEWAL);
        assertThat(renewal.live()).isTrue();
        assertThat(reply(renewal, GrantResult.GRANTED, GRANT)).containsExactly(new Refused("s", "s-1"));
    }

    @Test
    void ignoresAnswersToEarlierRequestsAndAfterRelease() {
        GrantRequest first = ask(0);
        GrantRequest second = request(holder.onTick(service -> SET, TIMEOUT));
        assertThat(reply(first, GrantResult.GRANTED, TIMEOUT)).isEmpty();
        assertThat(holder.release("s", "s-1", SET)).hasSize(3);
        assertThat(reply(second, GrantResult.GRANTED, TIMEOUT)).isEmpty();
        assertThat(holder.liveGrants(TIMEOUT)).isEqualTo(0);
    }

    @Test
    void asksTheNextVmWhereOneDoesNotAnswerAndGivesUpAfterTheLast() {
        assertThat(((Send) holder.request("s", "s-1", SET, RULES, 0).get(0)).target())
                .isEqualTo("a");
        assertThat(((Send) holder.onTick(service -> SET, TIMEOUT).get(0)).target())
                .isEqualTo("b");
        assertThat(((Send) holder.onTick(service -> SET, 2 * TIMEOUT).get(0)).target())
                .isEqualTo("c");
        assertThat(holder.onTick(service -> SET, 3 * TIMEOUT)).containsExactly(new Refused("s", "s-1"));
    }

    @Test
    void endsARightAtOnceWhenItsRenewalIsRefusedOrItsTimeIsOverOrTheAllowanceShrinks() {
        reply(ask(0), GrantResult.GRANTED, 1);
        assertThat(reply(ask(RENEWAL), GrantResult.REFUSED, RENEWAL)).containsExactly(new Revoked("s", "s-1"));
        reply(ask(0), GrantResult.GRANTED, 1);
        assertThat(holder.onTick(service -> SET, GRANT)).containsExactly(new Revoked("s", "s-1"));
        reply(ask(0), GrantResult.GRANTED, 1);
        ServiceRules raised = new ServiceRules(2, 2, Set.of());
        assertThat(holder.onRules(service -> raised, service -> SET)).contains(new Revoked("s", "s-1"));
        assertThat(holder.liveGrants(1)).isEqualTo(0);
    }

    @Test
    void stopsRenewingWhatIsNoLongerAskedFor() {
        reply(ask(0), GrantResult.GRANTED, 1);
        assertThat(holder.onTick(service -> SET, RENEWAL)).hasSize(1);
        GrantRequest renewal = request(holder.onTick(service -> SET, RENEWAL + TIMEOUT));
        reply(renewal, GrantResult.GRANTED, RENEWAL + TIMEOUT);
        assertThat(holder.onTick(service -> SET, GRANT)).isEmpty();
    }
}
